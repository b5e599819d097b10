package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

/** What is known of one other instance. */
final class PeerState {

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final InstanceId id;
  private ListedInstance lastListing;
  private Heartbeat lastHeartbeat;
  private boolean listed;
  private long lastListedAtMillis = NEVER;
  private long lastHeardAtMillis = NEVER;

  private PeerState(InstanceId id) {
    this.id = id;
  }

  static PeerState of(InstanceId id) {
    return new PeerState(id);
  }

  void markListed(long nowMillis, ListedInstance instance) {
    lastListing = instance;
    listed = true;
    lastListedAtMillis = nowMillis;
  }

  void markUnlisted() {
    listed = false;
  }

  /** Takes a heartbeat unless it comes from a run that a newer one has replaced. */
  boolean acceptHeartbeat(long nowMillis, Heartbeat heartbeat) {
    if (lastHeartbeat != null && startNumber(heartbeat) < startNumber(lastHeartbeat)) {
      return false;
    }
    lastHeartbeat = heartbeat;
    lastHeardAtMillis = nowMillis;
    return true;
  }

  boolean wasHeardSince(long sinceMillis) {
    return lastHeardAtMillis >= sinceMillis;
  }

  /**
   * An instance that was heard or listed may be at work until a list leaves it out that was
   * confirmed a quiet time later; without such a list it stays possible.
   */
  boolean mayBeRunning(long lastListMillis, long removalDelayMillis) {
    long lastSeenMillis = Math.max(lastHeardAtMillis, lastListedAtMillis);
    return listed || lastListMillis < lastSeenMillis + removalDelayMillis;
  }

  boolean wasSeenSince(long sinceMillis) {
    return listed || Math.max(lastHeardAtMillis, lastListedAtMillis) >= sinceMillis;
  }

  boolean isIn(FailureDomainId domain) {
    return domain.equals(domain());
  }

  /**
   * The own word on leaving counts as well as the platform's, whichever is first. The address is
   * the platform's, as for heartbeats: with two addresses for one instance, each message would
   * close the connection of the other address and lose the answers that it waits for.
   */
  Member toMember() {
    Member sender = lastHeartbeat.sender();
    boolean leaving = sender.leaving() || listed && lastListing.leaving();
    String host = listed ? lastListing.host() : sender.host();
    int peerPort = listed ? lastListing.peerPort() : sender.peerPort();
    return new Member(sender.incarnation(), sender.domain(), host, peerPort, leaving);
  }

  Revision revision() {
    return lastHeartbeat == null ? Revision.NONE : lastHeartbeat.revision();
  }

  Revision domainRevision() {
    return lastHeartbeat == null ? Revision.NONE : lastHeartbeat.domainRevision();
  }

  InstanceId id() {
    return id;
  }

  FailureDomainId domain() {
    return lastHeartbeat == null ? lastListing.domain() : lastHeartbeat.sender().domain();
  }

  MembershipAction.Send sendAction(Heartbeat heartbeat) {
    if (listed || lastHeartbeat == null) {
      return new MembershipAction.Send(id, lastListing.host(), lastListing.peerPort(), heartbeat);
    }
    Member sender = lastHeartbeat.sender();
    return new MembershipAction.Send(id, sender.host(), sender.peerPort(), heartbeat);
  }

  private static long startNumber(Heartbeat heartbeat) {
    return heartbeat.sender().incarnation().startNumber();
  }
}
