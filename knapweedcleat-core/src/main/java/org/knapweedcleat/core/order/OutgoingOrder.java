package org.knapweedcleat.core.order;

/**
 * An order that is to be sent now.
 *
 * @param order the order
 * @param fencingNumber goes with it
 */
public record OutgoingOrder(EngineOrder order, FencingNumber fencingNumber) {}
