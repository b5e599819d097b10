package org.knapweedcleat.core.directory;

/**
 * The capacity of a service's engines.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param memoryTokens the number of tokens that fit into an engine's memory
 * @param prefillRetentionMillis the time for which an engine keeps a prefill result that is not
 *     fetched
 * @param tokensPerEvent the number of tokens in a stream event
 */
public record EngineProfile(
    int slots, long memoryTokens, long prefillRetentionMillis, int tokensPerEvent) {

  /** The profile of a service without model engines. */
  public static final EngineProfile NONE = new EngineProfile(0, 0, 0, 0);
}
