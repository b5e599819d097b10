package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Wraps a message that expects a response.
 *
 * @param requestNumber identifies the request on its connection
 * @param body the message as encoded by {@link PeerCodec#encodeBody}
 */
record RequestEnvelope(long requestNumber, byte[] body) implements PeerMessage {}
