package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells the holder of a queued stream that it was placed or refused.
 *
 * @param requestId the id of the stream's request
 * @param reply what was decided
 */
public record StreamAdmissionNotice(String requestId, StreamAdmissionReply reply)
    implements PeerMessage {}
