package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a keeper that a stream which it placed has ended.
 *
 * @param requestId the stream's request
 */
public record StreamEndedNotice(String requestId) implements PeerMessage {}
