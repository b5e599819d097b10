package org.knapweedcleat.core.directory;

/** The part of a split request that an endpoint works on. */
public enum EndpointStage {
  /** Reads prompts for other engines. */
  PREFILL,
  /** Produces tokens; also reads prompts, more slowly. */
  DECODE,
  /** A plain service, which does not split its work. */
  WHOLE;

  /**
   * Tells whether a caller's request can run there.
   *
   * @return false for engines that only read prompts
   */
  public boolean runsRequests() {
    return this != PREFILL;
  }
}
