package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells another instance that the sender lives.
 *
 * @param sender the sender
 * @param revision the revision of the document that the sender applies
 * @param digest the digest of that document
 * @param documentAgeMillis how long ago the platform last vouched for that document, as far as the
 *     sender knows; {@link #NEVER_CONFIRMED} if it never did
 * @param domainRevision the lowest revision that any instance of the sender's failure domain may
 *     still apply, as far as the sender knows
 * @param epoch the sender's membership epoch
 * @param replyRequested whether the receiver shall send its own heartbeat back at once
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

  /** The platform has not vouched for the document yet. */
  public static final long NEVER_CONFIRMED = -1;

  /**
   * Tells whether the heartbeat vouches for a document.
   *
   * @param applied the revision that the receiver applies
   * @return true if the sender applies it too and has heard that it is the newest
   */
  public boolean confirmsRevision(Revision applied) {
    return documentAgeMillis != NEVER_CONFIRMED && revision.equals(applied);
  }
}
