package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Requests one part of a document that another instance announced.
 *
 * @param revision the document's revision
 * @param offsetBytes the offset of the part
 */
public record DocumentRequest(Revision revision, int offsetBytes) implements PeerMessage {}
