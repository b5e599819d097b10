package org.knapweedcleat.core.directory;

/**
 * What the engines of a service can hold.
 *
 * @param slots how many requests an engine runs at once
 * @param memoryTokens how many tokens an engine's memory holds
 * @param prefillRetentionMillis how long an engine keeps the result of a prefill that is not fetched
 * @param tokensPerEvent how many tokens an event of a stream holds
 */
public record EngineProfile(int slots, long memoryTokens, long prefillRetentionMillis, int tokensPerEvent) {

  /** Stands for a service without model engines. */
  public static final EngineProfile NONE = new EngineProfile(0, 0, 0, 0);
}
