package org.knapweedcleat.router.endpoint;

import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.id.RequestId;

/**
 * Context shared by all model engine calls of one request.
 *
 * @param request the request id
 * @param priority the priority sent to the engine, 0 to 9
 * @param sentCalls records each call before its first byte is sent
 */
public record EngineCallContext(RequestId request, int priority, SentCallTracker sentCalls) {}
