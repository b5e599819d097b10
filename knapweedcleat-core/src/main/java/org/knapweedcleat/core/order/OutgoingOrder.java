package org.knapweedcleat.core.order;

/**
 * An order to be sent now.
 *
 * @param order the order
 * @param fencingNumber the fencing number to send with the order
 */
public record OutgoingOrder(EngineOrder order, FencingNumber fencingNumber) {}
