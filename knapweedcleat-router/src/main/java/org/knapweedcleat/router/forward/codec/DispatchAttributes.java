package org.knapweedcleat.router.forward.codec;

import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;

/**
 * What the router adds to a request that it sends to an endpoint.
 *
 * @param endpoint the only endpoint that may run it
 * @param account the client account that it runs for
 * @param deadlineMillis how long the endpoint may work
 * @param priority its urgency; 0 is the most urgent
 * @param prefillOnly whether only the prompt is to be read
 * @param kvHandle the KV cache to fetch
 * @param resumeAfter the last event that is not wanted again
 */
public record DispatchAttributes(
    EndpointId endpoint,
    Optional<AccountId> account,
    long deadlineMillis,
    int priority,
    boolean prefillOnly,
    Optional<KvHandle> kvHandle,
    Optional<String> resumeAfter) {}
