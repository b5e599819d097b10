package org.knapweedcleat.core.order;

import org.knapweedcleat.core.id.EndpointId;

/**
 * An idempotent order to an engine.
 *
 * @param endpoint the engine
 * @param kind the kind of order
 * @param subject the model to load or the role to set
 */
public record EngineOrder(EndpointId endpoint, OrderKind kind, String subject) {}
