package org.knapweedcleat.router.forward.codec;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's request says to the router.
 *
 * @param requestId names the request; each of the caller's attempts has its own
 * @param host the host it is for, without a port
 * @param key the key that it shows
 * @param deadlineMillis how long the caller waits
 * @param usage the tokens it needs
 * @param resumeAfter the last event that the caller has of a stream that it wants to go on with
 */
public record InboundCall(
    String requestId,
    String host,
    Optional<String> key,
    OptionalLong deadlineMillis,
    Optional<TokenUsage> usage,
    Optional<String> resumeAfter) {}
