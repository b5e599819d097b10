package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * What an instance tells others at short intervals.
 *
 * @param sender the sender
 * @param leaving whether the sender is about to end
 * @param reports the sender's own report first; a representative adds those of its failure domain
 * @param knownMembers some of the instances that the sender heard lately
 * @param configVersion the version of the configuration that the sender applies, -1 for none
 * @param endpointsRevision how far the sender's list of endpoints is, -1 if it has none
 * @param endpointsHash the hash of that list
 * @param storeAgeMillis how long ago the store last answered the sender or one it heard of it from
 * @param unreachableEndpoints the endpoints that the sender cannot reach
 * @param fleetSize how many instances the sender takes the fleet to have, 0 while it cannot know
 */
public record GossipMessage(
    FleetMember sender,
    boolean leaving,
    List<MemberReport> reports,
    List<FleetMember> knownMembers,
    long configVersion,
    long endpointsRevision,
    int endpointsHash,
    long storeAgeMillis,
    List<String> unreachableEndpoints,
    int fleetSize)
    implements PeerMessage {}
