package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Wraps the response to a {@link RequestEnvelope}.
 *
 * @param requestNumber the number of the request
 * @param body the message as encoded by {@link PeerCodec#encodeBody}
 */
record ResponseEnvelope(long requestNumber, byte[] body) implements PeerMessage {}
