package org.knapweedcleat.core.room;

import org.knapweedcleat.core.id.IncarnationId;

/**
 * Identifies a call that asks for engine capacity.
 *
 * @param holder the instance that serves the call
 * @param requestId the id of the call's request
 */
public record CallKey(IncarnationId holder, String requestId) {}
