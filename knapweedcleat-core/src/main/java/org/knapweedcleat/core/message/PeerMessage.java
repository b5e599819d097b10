package org.knapweedcleat.core.message;

/**
 * A message between instances.
 *
 * <p>Implementations are records whose components are ids, numbers, booleans, strings, enums, byte
 * arrays, lists and maps of these, or further such records, so that the transport can write them
 * without knowing them.
 */
public interface PeerMessage {}
