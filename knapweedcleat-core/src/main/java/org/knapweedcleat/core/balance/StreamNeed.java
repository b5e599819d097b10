package org.knapweedcleat.core.balance;

/**
 * What a streamed request needs of the engines.
 *
 * @param promptTokens the tokens to read
 * @param memoryTokens the tokens that the request occupies when it begins
 * @param split whether another engine may read the prompt
 * @param usableMemory the part of an engine's memory that it may fill
 * @param begun whether the request was running before, so that it is placed even without room
 * @param maxGapMillis the longest pause between events that callers take as on time; 0 if any is
 */
public record StreamNeed(
    long promptTokens,
    long memoryTokens,
    boolean split,
    double usableMemory,
    boolean begun,
    long maxGapMillis) {}
