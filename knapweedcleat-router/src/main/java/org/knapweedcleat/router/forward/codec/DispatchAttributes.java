package org.knapweedcleat.router.forward.codec;

import java.util.Optional;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;

/**
 * The attributes that the router adds to a request it sends to an endpoint.
 *
 * @param endpoint the only endpoint that may run the request
 * @param account the client account for which the request runs
 * @param deadlineMillis how long the endpoint may work on the request
 * @param priority the scheduling priority; 0 is the most urgent
 * @param prefillOnly whether only the prompt is to be processed
 * @param kvHandle the KV cache to fetch
 * @param resumeAfter the id of the last event that the caller already has
 */
public record DispatchAttributes(
    EndpointId endpoint,
    Optional<AccountId> account,
    long deadlineMillis,
    int priority,
    boolean prefillOnly,
    Optional<KvHandle> kvHandle,
    Optional<String> resumeAfter) {}
