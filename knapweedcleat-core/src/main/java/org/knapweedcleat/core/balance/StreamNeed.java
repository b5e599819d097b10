package org.knapweedcleat.core.balance;

import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;

/**
 * What a streamed request needs of the engines.
 *
 * @param promptTokens the tokens to read
 * @param memoryTokens the tokens that the request occupies when it begins
 * @param split whether another engine may read the prompt
 * @param failedReaders the engines whose reading of this prompt came to nothing
 * @param usableMemory the part of an engine's memory that it may fill
 * @param forced whether the request is placed even without room
 * @param maxGapMillis the longest pause between events that callers take as on time; 0 if any is
 */
public record StreamNeed(
    long promptTokens,
    long memoryTokens,
    boolean split,
    Set<EndpointId> failedReaders,
    double usableMemory,
    boolean forced,
    long maxGapMillis) {

  /** Copies the set. */
  public StreamNeed {
    failedReaders = Set.copyOf(failedReaders);
  }
}
