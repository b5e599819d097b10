package org.knapweedcleat.core.balance;

import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;

/**
 * What a streamed request needs of the engines.
 *
 * @param promptTokens the tokens to read
 * @param memoryTokens the tokens that the request occupies when it begins
 * @param allowsSplit whether another engine may read the prompt
 * @param failedPrefillEngines the engines whose reading of this prompt came to nothing
 * @param usableMemoryFraction the part of an engine's memory that it may fill
 * @param ignoresCapacity whether the request is placed even without room
 * @param maxGapMillis the longest pause between events that callers take as on time; 0 if any is
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
