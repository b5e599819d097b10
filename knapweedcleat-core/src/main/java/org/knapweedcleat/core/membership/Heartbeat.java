package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * A heartbeat, which tells another instance that the sender is alive.
 *
 * @param sender the sender
 * @param revision the revision of the configuration document that the sender applies
 * @param digest the digest of that document
 * @param documentAgeMillis the time since the platform last confirmed that document, as far as the
 *     sender knows; {@link #NEVER_CONFIRMED} if it never did
 * @param domainRevision the lowest revision that any instance of the sender's failure domain may
 *     still apply, as far as the sender knows
 * @param epoch the sender's membership epoch
 * @param replyRequested whether the receiver should reply immediately with its own heartbeat
 */
public record Heartbeat(
    Member sender,
    Revision revision,
    String digest,
    long documentAgeMillis,
    Revision domainRevision,
    long epoch,
    boolean replyRequested)
    implements PeerMessage {

  /** The document age when the platform has not confirmed the document yet. */
  public static final long NEVER_CONFIRMED = -1;

  /**
   * Returns whether the heartbeat confirms that a document revision is current.
   *
   * @param applied the revision that the receiver applies
   * @return true if the sender applies the same revision and the platform has confirmed it
   */
  public boolean confirmsRevision(Revision applied) {
    return documentAgeMillis != NEVER_CONFIRMED && revision.equals(applied);
  }
}
