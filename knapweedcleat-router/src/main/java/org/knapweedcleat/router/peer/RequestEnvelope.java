package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Wraps a message that wants an answer.
 *
 * @param requestNumber tells the questions of one connection apart
 * @param body the wrapped message, as {@link PeerCodec#encodeBody} writes it
 */
record RequestEnvelope(long requestNumber, byte[] body) implements PeerMessage {}
