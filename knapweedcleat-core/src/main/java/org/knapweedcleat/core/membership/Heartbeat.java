package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells another instance that the sender lives.
 *
 * @param sender the sender
 * @param revision the revision of the document that the sender applies
 * @param digest the digest of that document
 * @param domainRevision the lowest revision that any instance of the sender's failure domain may
 *     still apply, as far as the sender knows
 * @param epoch the sender's membership epoch
 * @param wantsAnswer whether the receiver shall send its own heartbeat back at once
 */
public record Heartbeat(
    Member sender,
    Revision revision,
    String digest,
    Revision domainRevision,
    long epoch,
    boolean wantsAnswer)
    implements PeerMessage {}
