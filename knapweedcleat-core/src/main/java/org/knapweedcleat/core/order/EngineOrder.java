package org.knapweedcleat.core.order;

import org.knapweedcleat.core.id.EndpointId;

/**
 * An order to one engine; giving it again changes nothing.
 *
 * @param endpoint the engine
 * @param kind what it is told
 * @param subject the model or the role
 */
public record EngineOrder(EndpointId endpoint, OrderKind kind, String subject) {}
