package org.knapweedcleat.router.node;

import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.limit.LimitSettings;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.router.platform.PlatformWatch;

/** Derives the times of the protocols from an instance's settings. */
final class NodeTimes {

  /** The time between two steps of the schedulers and the limiter. */
  static final long TICK_MILLIS = 20;

  /** The time between two steps of the membership. */
  static final long MEMBERSHIP_TICK_MILLIS = 100;

  /** The time between two load reports of an engine. */
  static final long POLL_MILLIS = 250;

  /** The time between two messages that tell a scheduler what still runs. */
  static final long CLAIM_MILLIS = 2000;

  /** How long an instance waits for the answer to a part of a document. */
  static final long DOCUMENT_TIMEOUT_MILLIS = 5000;

  /** How long an instance waits for tokens from another failure domain. */
  static final long DOMAIN_DRAW_TIMEOUT_MILLIS = 300;

  private static final long SHARE_WAIT_QUIET_TIMES = 3;
  private static final long IDLE_POLL_MILLIS = 30_000;
  private static final long IDLE_LIST_POLL_MILLIS = 10_000;
  private static final long MIN_LIST_WAIT_MILLIS = 200;
  private static final int DOMAIN_INTERVAL_FACTOR = 10;
  private static final int HEARTBEAT_BYTES_PER_SECOND = 1200;
  private static final int RENEWALS_PER_LEASE = 4;
  private static final long DRAW_TIMEOUT_MILLIS = 250;
  private static final int DRIFT_PERMILLE = 10;

  private NodeTimes() {}

  static MembershipSettings membership(InstanceSettings.Peers peers) {
    return new MembershipSettings(
        peers.heartbeatMillis(),
        peers.heartbeatTimeoutMillis(),
        (long) DOMAIN_INTERVAL_FACTOR * peers.heartbeatMillis(),
        quietMillis(peers),
        HEARTBEAT_BYTES_PER_SECOND);
  }

  static LimitSettings limits(InstanceSettings.Peers peers) {
    return new LimitSettings(
        peers.leaseMillis(),
        peers.leaseMillis() / RENEWALS_PER_LEASE,
        DRAW_TIMEOUT_MILLIS,
        peers.heartbeatTimeoutMillis(),
        DRIFT_PERMILLE);
  }

  static PlatformWatch.WatchTimes watch(InstanceSettings.Platform platform) {
    return new PlatformWatch.WatchTimes(platform.watchWaitMillis(), IDLE_POLL_MILLIS);
  }

  static PlatformWatch.WatchTimes listWatch(InstanceSettings.Peers peers) {
    return new PlatformWatch.WatchTimes(
        Math.max(MIN_LIST_WAIT_MILLIS, peers.listLagMillis()), IDLE_LIST_POLL_MILLIS);
  }

  /** Returns how long a new instance waits at most for its share of the client accounts. */
  static long shareWaitMillis(InstanceSettings.Peers peers) {
    return SHARE_WAIT_QUIET_TIMES * quietMillis(peers);
  }

  /** Returns how long an instance that is neither heard nor listed may still be at work. */
  static long quietMillis(InstanceSettings.Peers peers) {
    long leases = 2L * peers.leaseMillis();
    return peers.listLagMillis() + peers.heartbeatTimeoutMillis() + leases;
  }
}
