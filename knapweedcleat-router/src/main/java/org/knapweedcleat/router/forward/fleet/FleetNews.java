package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.balance.EndpointWork;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * What an instance tells the others at short intervals.
 *
 * @param sender the sender
 * @param domain the sender's failure domain
 * @param ends whether the sender is about to end
 * @param heard some of the instances that the sender heard lately
 * @param configVersion the version of the configuration that the sender applies, -1 for none
 * @param endpointsRevision how far the sender's list of endpoints is, -1 if it has none
 * @param spent the units that the sender has spent of each account since its start
 * @param unreachable the endpoints that the sender cannot reach
 * @param work the sender's work at each endpoint
 */
public record FleetNews(
    FleetMember sender,
    FailureDomainId domain,
    boolean ends,
    List<FleetMember> heard,
    long configVersion,
    long endpointsRevision,
    Map<String, Long> spent,
    List<String> unreachable,
    Map<String, EndpointWork> work)
    implements PeerMessage {}
