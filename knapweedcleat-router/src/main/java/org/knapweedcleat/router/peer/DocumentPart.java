package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Response to a {@link DocumentRequest}: one part of the current document.
 *
 * @param revision the current revision, which may be higher than the requested one
 * @param offsetBytes the offset of the part
 * @param totalBytes the length of the document
 * @param bytes the part, empty if the current document is not the requested one
 */
public record DocumentPart(Revision revision, int offsetBytes, int totalBytes, byte[] bytes)
    implements PeerMessage {}
