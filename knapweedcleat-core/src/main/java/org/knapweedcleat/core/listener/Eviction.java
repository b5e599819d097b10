package org.knapweedcleat.core.listener;

/**
 * A connection to close.
 *
 * @param connection the number of the connection
 * @param reason why it is closed
 * @param heldBytes the memory that it held
 */
public record Eviction(long connection, CloseReason reason, long heldBytes) {}
