package org.knapweedcleat.router.forward.throttle;

import java.util.List;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells other instances which rate limits endpoints have announced. Sent only while there are any.
 *
 * @param sender the sender
 * @param reports its own observations; those of its failure domain, if it represents that
 */
public record LimitNotice(FleetMember sender, List<LimitReport> reports) implements PeerMessage {}
