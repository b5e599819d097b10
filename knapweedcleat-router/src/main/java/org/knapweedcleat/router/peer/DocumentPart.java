package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Answers a {@link DocumentRequest} with a part of the document that is in force.
 *
 * @param revision the revision in force, which may be higher than the one asked for
 * @param offsetBytes where the part begins
 * @param totalBytes the length of the whole document
 * @param bytes the part, empty when the document in force is not the one asked for
 */
public record DocumentPart(Revision revision, int offsetBytes, int totalBytes, byte[] bytes)
    implements PeerMessage {}
