package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;

/**
 * An endpoint's report that one prompt block was cached or evicted. Events may be late or lost.
 *
 * @param endpoint the endpoint
 * @param hash the chained hash of the prompt up to the end of the block
 * @param stored true when the block was stored, false when it was evicted
 */
public record CacheHint(EndpointId endpoint, long hash, boolean stored) {}
