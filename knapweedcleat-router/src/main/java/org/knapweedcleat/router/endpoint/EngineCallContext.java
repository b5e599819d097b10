package org.knapweedcleat.router.endpoint;

import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.id.RequestId;

/**
 * What all calls for one request to model engines have in common.
 *
 * @param request the request
 * @param priority passed on, 0 to 9
 * @param record is told before bytes leave
 */
public record EngineCallContext(RequestId request, int priority, SentCallTracker record) {}
