package org.knapweedcleat.router.forward.codec;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.knapweedcleat.core.quarantine.PromptPartId;

/**
 * The parts of a caller's request that concern the router.
 *
 * @param requestId the id of the request; each attempt of the caller has its own
 * @param host the requested host in lower case, without the port
 * @param key the API key
 * @param deadlineMillis how long the caller waits for the response
 * @param usage the tokens that the request needs
 * @param sharedParts the parts of the prompt that other requests may share
 * @param resumeAfter the id of the last event that the caller received of a stream to resume
 */
public record InboundCall(
    String requestId,
    String host,
    Optional<String> key,
    OptionalLong deadlineMillis,
    Optional<TokenUsage> usage,
    List<PromptPartId> sharedParts,
    Optional<String> resumeAfter) {}
