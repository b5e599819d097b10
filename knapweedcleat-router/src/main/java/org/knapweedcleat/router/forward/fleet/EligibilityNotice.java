package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells other instances which failure domains are or were evacuated and which endpoints are cold.
 * Sent only while there are any.
 *
 * @param sender the sender
 * @param evacuations all changes of evacuations that the sender knows
 * @param coldEndpoints its own observations; those of its failure domain, if it represents that
 */
public record EligibilityNotice(
    FleetMember sender, List<EvacuationReport> evacuations, List<ColdReport> coldEndpoints)
    implements PeerMessage {}
