package org.knapweedcleat.core.balance;

import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;

/**
 * What a streamed request needs from engines.
 *
 * @param promptTokens the prompt tokens to prefill
 * @param memoryTokens the tokens that the request occupies in memory when it starts
 * @param allowsSplit whether a separate engine may prefill the prompt
 * @param failedPrefillEngines the engines that already failed to prefill this prompt
 * @param usableMemoryFraction the fraction of an engine's memory that may be in use with this
 *     request
 * @param ignoresCapacity whether to place the request even on a full engine
 * @param maxGapMillis the longest acceptable gap between events of a stream; 0 for no limit
 */
public record StreamRequirements(
    long promptTokens,
    long memoryTokens,
    boolean allowsSplit,
    Set<EndpointId> failedPrefillEngines,
    double usableMemoryFraction,
    boolean ignoresCapacity,
    long maxGapMillis) {

  /** Copies the set. */
  public StreamRequirements {
    failedPrefillEngines = Set.copyOf(failedPrefillEngines);
  }
}
