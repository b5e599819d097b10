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
 * @param split whether another engine may read the prompt
 * @param failedReaders the engines whose reading of this prompt came to nothing
 * @param usableMemory the part of an engine's memory that it may fill
 * @param maxGapMillis the longest pause between its events that callers take as on time
 * @param tried the engines that have failed it
 * @param avoided the engines that the asker cannot use now
 */
public record RoomQuestion(
    String service,
    String requestId,
    long remainingMillis,
    long promptTokens,
    long memoryTokens,
    boolean split,
    List<String> failedReaders,
    double usableMemory,
    long maxGapMillis,
    List<String> tried,
    List<String> avoided)
    implements PeerMessage {}
