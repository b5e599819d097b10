package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Periodic state update from one instance to others.
 *
 * @param sender the sender
 * @param leaving whether the sender is leaving the fleet
 * @param reports the sender's report, then those a representative forwards for its failure domain
 * @param knownMembers some of the instances that the sender considers live
 * @param configVersion the sender's configuration version, -1 for none
 * @param endpointsPosition the position of the sender's endpoint list, as a number ({@link
 *     org.knapweedcleat.core.id.StorePosition#toLong})
 * @param endpointsHash the hash of the sender's endpoint list
 * @param storeAgeMillis the time since the sender's configuration and endpoints were known to be
 *     current
 * @param unreachableEndpoints the endpoints that the sender cannot reach
 * @param fleetSize the sender's estimate of the number of instances, 0 while unknown
 */
public record GossipMessage(
    FleetMember sender,
    boolean leaving,
    List<MemberReport> reports,
    List<FleetMember> knownMembers,
    long configVersion,
    long endpointsPosition,
    int endpointsHash,
    long storeAgeMillis,
    List<String> unreachableEndpoints,
    int fleetSize)
    implements PeerMessage {}
