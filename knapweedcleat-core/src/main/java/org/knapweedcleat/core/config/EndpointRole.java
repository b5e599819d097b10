package org.knapweedcleat.core.config;

/** The work that an endpoint does in its pool. */
public enum EndpointRole {
  /** Processes prompts and exports their KV cache. */
  PREFILL,
  /** Imports KV caches and generates tokens. */
  DECODE,
  /** Serves complete calls without a prefill and decode split. */
  PLAIN;

  /**
   * Returns whether the endpoint is a model engine.
   *
   * @return true for prefill and decode endpoints
   */
  public boolean isEngine() {
    return this != PLAIN;
  }
}
