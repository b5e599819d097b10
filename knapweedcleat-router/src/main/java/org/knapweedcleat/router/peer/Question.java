package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Wraps a message that wants an answer.
 *
 * @param number tells the questions of one connection apart
 * @param frame the wrapped message, as {@link PeerCodec#encodeBody} writes it
 */
record Question(long number, byte[] frame) implements PeerMessage {}
