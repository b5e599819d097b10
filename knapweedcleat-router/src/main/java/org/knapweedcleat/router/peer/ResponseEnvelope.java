package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Wraps the answer to a {@link RequestEnvelope}.
 *
 * @param requestNumber the question's number
 * @param body the wrapped message, as {@link PeerCodec#encodeBody} writes it
 */
record ResponseEnvelope(long requestNumber, byte[] body) implements PeerMessage {}
