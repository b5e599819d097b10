package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Wraps the answer to a {@link Question}.
 *
 * @param number the question's number
 * @param frame the wrapped message, as {@link PeerCodec#encodeBody} writes it
 */
record Answer(long number, byte[] frame) implements PeerMessage {}
