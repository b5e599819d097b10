package org.knapweedcleat.router.forward.room;

import java.util.List;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks the keeper of a region where a stream may run.
 *
 * @param service the stream's service
 * @param requestId its request
 * @param remainingMillis how long it may last
 * @param promptTokens the tokens to read; 0 if they have been read
 * @param memoryTokens the tokens that it occupies when it begins
 * @param splitAllowed whether another engine may read the prompt
 * @param failedPrefillEngines the engines whose reading of this prompt came to nothing
 * @param usableMemoryFraction the part of an engine's memory that it may fill
 * @param maxGapMillis the longest pause between its events that callers take as on time
 * @param triedEngines the engines that have failed it
 * @param unusableEngines the engines that the asker cannot use now
 */
public record StreamPlacementQuery(
    String service,
    String requestId,
    long remainingMillis,
    long promptTokens,
    long memoryTokens,
    boolean splitAllowed,
    List<String> failedPrefillEngines,
    double usableMemoryFraction,
    long maxGapMillis,
    List<String> triedEngines,
    List<String> unusableEngines)
    implements PeerMessage {}
