package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a coordinator that a stream it placed has ended.
 *
 * @param requestId the id of the stream's request
 */
public record StreamEndedNotice(String requestId) implements PeerMessage {}
