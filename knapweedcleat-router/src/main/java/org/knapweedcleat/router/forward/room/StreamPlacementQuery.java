package org.knapweedcleat.router.forward.room;

import java.util.List;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks a region's coordinator to place a stream.
 *
 * @param service the id of the stream's service
 * @param requestId the id of the stream's request
 * @param remainingMillis the time until the stream's deadline
 * @param promptTokens the prompt tokens to process; 0 if a prefill engine has processed them
 * @param memoryTokens the tokens of engine memory that the stream occupies at first
 * @param splitAllowed whether a separate prefill engine may process the prompt
 * @param failedPrefillEngines the engines that failed to prefill this prompt
 * @param usableMemoryFraction the fraction of an engine's memory that the stream may fill up to
 * @param maxGapMillis the longest pause between events that is on time; 0 for no limit
 * @param triedEngines the engines that the request was already sent to
 * @param unusableEngines the engines that the sender currently considers unhealthy
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
