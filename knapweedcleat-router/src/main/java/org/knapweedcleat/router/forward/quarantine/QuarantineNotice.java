package org.knapweedcleat.router.forward.quarantine;

import java.util.List;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells other instances under which requests engines were lost, and which parts of prompts engines
 * survived. Sent only while there are such losses.
 *
 * @param sender the sender
 * @param losses the losses
 * @param served the parts that may be blamed for losses and that engines survived
 */
public record QuarantineNotice(
    FleetMember sender, List<EngineLossReport> losses, List<ServedPartReport> served)
    implements PeerMessage {}
