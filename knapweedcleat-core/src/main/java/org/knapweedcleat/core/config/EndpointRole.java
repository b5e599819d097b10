package org.knapweedcleat.core.config;

/** What an endpoint does in its pool. */
public enum EndpointRole {
  /** Reads prompts and exports their KV cache. */
  PREFILL,
  /** Imports KV caches and generates tokens. */
  DECODE,
  /** Answers whole calls. */
  PLAIN;

  /**
   * Tells whether the endpoint is a model engine.
   *
   * @return true for prefill and decode
   */
  public boolean isEngine() {
    return this != PLAIN;
  }
}
