package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks another instance for a part of a document that it announced.
 *
 * @param revision the document's revision
 * @param offsetBytes where the part begins
 */
public record DocumentRequest(Revision revision, int offsetBytes) implements PeerMessage {}
