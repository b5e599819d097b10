package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Handshake: the first message in each direction of a connection.
 *
 * @param sender the sending incarnation
 * @param domain the sender's failure domain
 */
public record Hello(IncarnationId sender, FailureDomainId domain) implements PeerMessage {}
