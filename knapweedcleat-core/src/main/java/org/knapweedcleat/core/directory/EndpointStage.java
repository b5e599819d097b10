package org.knapweedcleat.core.directory;

/** The stage of a split request that an endpoint serves. */
public enum EndpointStage {
  /** Prefills prompts for other engines. */
  PREFILL,
  /** Generates tokens; can also prefill prompts, but more slowly. */
  DECODE,
  /** Runs whole requests of a plain service, which are not split. */
  WHOLE;

  /**
   * Returns whether a caller's request can run on the endpoint.
   *
   * @return false for engines that only prefill prompts
   */
  public boolean runsRequests() {
    return this != PREFILL;
  }
}
