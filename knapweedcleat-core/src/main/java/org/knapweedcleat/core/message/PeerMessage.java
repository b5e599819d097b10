package org.knapweedcleat.core.message;

/**
 * A message between instances.
 *
 * <p>Implementations are records whose components are ids, numbers, booleans, strings, enums, byte
 * arrays, lists and maps of these, or other such records, so that the transport can serialize them
 * generically.
 */
public interface PeerMessage {}
