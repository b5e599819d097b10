package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

/** The state of one other instance as known from the platform's list and from heartbeats. */
final class PeerState {

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final InstanceId id;
  private ListedInstance lastListing;
  private Heartbeat lastHeartbeat;
  private boolean listed;
  private long lastListedAtMillis = NEVER;
  private long lastHeartbeatAtMillis = NEVER;

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

  /** Records a heartbeat, unless it is from an older run of the instance than the last one. */
  boolean acceptHeartbeat(long nowMillis, Heartbeat heartbeat) {
    if (lastHeartbeat != null && startNumber(heartbeat) < startNumber(lastHeartbeat)) {
      return false;
    }
    lastHeartbeat = heartbeat;
    lastHeartbeatAtMillis = nowMillis;
    return true;
  }

  boolean wasHeardSince(long sinceMillis) {
    return lastHeartbeatAtMillis >= sinceMillis;
  }

  /**
   * Returns whether the instance may be running. This holds until a list without it is confirmed at
   * least the removal delay after it was last heard or listed; without such a list it holds
   * indefinitely.
   */
  boolean mayBeRunning(long lastListMillis, long removalDelayMillis) {
    long lastSeenMillis = Math.max(lastHeartbeatAtMillis, lastListedAtMillis);
    return listed || lastListMillis < lastSeenMillis + removalDelayMillis;
  }

  boolean wasSeenSince(long sinceMillis) {
    return listed || Math.max(lastHeartbeatAtMillis, lastListedAtMillis) >= sinceMillis;
  }

  boolean isIn(FailureDomainId domain) {
    return domain.equals(domain());
  }

  /**
   * Returns the instance as a member. It is leaving if either the instance itself or the platform
   * says so. The platform's address takes precedence, as for heartbeats: with two addresses for one
   * instance, each message would close the connection to the other address and lose its pending
   * answers.
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
