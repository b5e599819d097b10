package org.knapweedcleat.router.node;

import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.limit.LimitSettings;
import org.knapweedcleat.core.membership.MembershipSettings;
import org.knapweedcleat.router.platform.PlatformWatcher;

/** Intervals and timeouts of the protocols, partly derived from an instance's settings. */
final class NodeTimings {

  /** The tick interval of the schedulers and the rate limiter. */
  static final long TICK_MILLIS = 20;

  /** The tick interval of the membership tracker. */
  static final long MEMBERSHIP_TICK_MILLIS = 100;

  /** The interval between two load polls of an engine. */
  static final long LOAD_POLL_MILLIS = 250;

  /** The interval between two reports of running requests to a scheduler. */
  static final long CLAIM_INTERVAL_MILLIS = 2000;

  /** The timeout of a request for a part of a document. */
  static final long DOCUMENT_TIMEOUT_MILLIS = 5000;

  /** The timeout of a draw of tokens from another failure domain. */
  static final long DOMAIN_DRAW_TIMEOUT_MILLIS = 300;

  private static final long SHARE_WAIT_REMOVAL_DELAYS = 3;
  private static final long IDLE_POLL_MILLIS = 30_000;
  private static final long IDLE_LIST_POLL_MILLIS = 10_000;
  private static final long MIN_LIST_WAIT_MILLIS = 200;
  private static final int OTHER_DOMAIN_INTERVAL_FACTOR = 10;
  private static final int HEARTBEAT_BYTES_PER_SECOND = 1200;
  private static final int LEASE_RENEWAL_DIVISOR = 4;
  private static final long DRAW_TIMEOUT_MILLIS = 250;
  private static final int MAX_CLOCK_DRIFT_PERMILLE = 10;

  private NodeTimings() {}

  static MembershipSettings membershipSettings(InstanceSettings.Peers peers) {
    return new MembershipSettings(
        peers.heartbeatMillis(),
        peers.heartbeatTimeoutMillis(),
        (long) OTHER_DOMAIN_INTERVAL_FACTOR * peers.heartbeatMillis(),
        removalDelayMillis(peers),
        HEARTBEAT_BYTES_PER_SECOND);
  }

  static LimitSettings limitSettings(InstanceSettings.Peers peers) {
    return new LimitSettings(
        peers.leaseMillis(),
        peers.leaseMillis() / LEASE_RENEWAL_DIVISOR,
        DRAW_TIMEOUT_MILLIS,
        peers.heartbeatTimeoutMillis(),
        MAX_CLOCK_DRIFT_PERMILLE);
  }

  static PlatformWatcher.WatchTimings documentWatchTimings(InstanceSettings.Platform platform) {
    return new PlatformWatcher.WatchTimings(platform.watchWaitMillis(), IDLE_POLL_MILLIS);
  }

  static PlatformWatcher.WatchTimings instanceListWatchTimings(InstanceSettings.Peers peers) {
    return new PlatformWatcher.WatchTimings(
        Math.max(MIN_LIST_WAIT_MILLIS, peers.listLagMillis()), IDLE_LIST_POLL_MILLIS);
  }

  /** Returns how long a new instance waits at most for its share of the accounts' tokens. */
  static long shareWaitMillis(InstanceSettings.Peers peers) {
    return SHARE_WAIT_REMOVAL_DELAYS * removalDelayMillis(peers);
  }

  /** Returns how long an instance may still be active that is neither heard from nor listed. */
  static long removalDelayMillis(InstanceSettings.Peers peers) {
    long twoLeasesMillis = 2L * peers.leaseMillis();
    return peers.listLagMillis() + peers.heartbeatTimeoutMillis() + twoLeasesMillis;
  }
}
