package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;

/**
 * What an endpoint's cache events say of one block; they come late and with gaps.
 *
 * @param endpoint the endpoint
 * @param hash the chained hash of the prompt up to the end of the block
 * @param stored true when the block was stored, false when it was evicted
 */
public record CacheHint(EndpointId endpoint, long hash, boolean stored) {}
