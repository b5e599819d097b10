package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

/** What is known of one other instance. */
final class KnownInstance {

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final InstanceId id;
  private ListedInstance listing;
  private Heartbeat lastHeartbeat;
  private boolean listedNow;
  private long listedAtMillis = NEVER;
  private long heardAtMillis = NEVER;

  private KnownInstance(InstanceId id) {
    this.id = id;
  }

  static KnownInstance of(InstanceId id) {
    return new KnownInstance(id);
  }

  void listed(long nowMillis, ListedInstance instance) {
    listing = instance;
    listedNow = true;
    listedAtMillis = nowMillis;
  }

  void unlisted() {
    listedNow = false;
  }

  /** Takes a heartbeat unless it comes from a run that a newer one has replaced. */
  boolean heard(long nowMillis, Heartbeat heartbeat) {
    if (lastHeartbeat != null && startNumber(heartbeat) < startNumber(lastHeartbeat)) {
      return false;
    }
    lastHeartbeat = heartbeat;
    heardAtMillis = nowMillis;
    return true;
  }

  boolean isHeardSince(long sinceMillis) {
    return heardAtMillis >= sinceMillis;
  }

  /**
   * An instance that was heard or listed may be at work until a list leaves it out that was
   * confirmed a quiet time later; without such a list it stays possible.
   */
  boolean isPossible(long lastListMillis, long quietMillis) {
    long lastSeenMillis = Math.max(heardAtMillis, listedAtMillis);
    return listedNow || lastListMillis < lastSeenMillis + quietMillis;
  }

  boolean isSeenSince(long sinceMillis) {
    return listedNow || Math.max(heardAtMillis, listedAtMillis) >= sinceMillis;
  }

  boolean isIn(FailureDomainId domain) {
    return domain.equals(domain());
  }

  /**
   * The own word on leaving counts as well as the platform's, whichever is first. The address is
   * the platform's, as for heartbeats: with two addresses for one instance, each message would
   * close the connection of the other address and lose the answers that it waits for.
   */
  Member member() {
    Member sender = lastHeartbeat.sender();
    boolean leaving = sender.leaving() || listedNow && listing.leaving();
    String host = listedNow ? listing.host() : sender.host();
    int peerPort = listedNow ? listing.peerPort() : sender.peerPort();
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
    return lastHeartbeat == null ? listing.domain() : lastHeartbeat.sender().domain();
  }

  MembershipAction.Send send(Heartbeat heartbeat) {
    if (listedNow || lastHeartbeat == null) {
      return new MembershipAction.Send(id, listing.host(), listing.peerPort(), heartbeat);
    }
    Member sender = lastHeartbeat.sender();
    return new MembershipAction.Send(id, sender.host(), sender.peerPort(), heartbeat);
  }

  private static long startNumber(Heartbeat heartbeat) {
    return heartbeat.sender().incarnation().startNumber();
  }
}
