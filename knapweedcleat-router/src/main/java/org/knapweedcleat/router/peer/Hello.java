package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * The first frame in each direction of a connection.
 *
 * @param sender who speaks
 * @param domain the failure domain it stands in
 */
public record Hello(IncarnationId sender, FailureDomainId domain) implements PeerMessage {}
