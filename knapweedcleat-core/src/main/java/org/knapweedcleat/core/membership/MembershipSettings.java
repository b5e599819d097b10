package org.knapweedcleat.core.membership;

/**
 * Times of the membership protocol.
 *
 * @param heartbeatIntervalMillis the time between heartbeats inside a failure domain
 * @param heartbeatTimeoutMillis how long an instance is held for live without a heartbeat
 * @param otherDomainIntervalMillis the time between heartbeats to other failure domains
 * @param removalDelayMillis how long an instance that is neither heard nor listed may still be at work;
 *     covers the list's lag and the longest lease
 * @param heartbeatBytesPerSecond what heartbeats inside a failure domain may cost; with many peers
 *     the interval and the timeout grow by the same factor
 */
public record MembershipSettings(
    long heartbeatIntervalMillis,
    long heartbeatTimeoutMillis,
    long otherDomainIntervalMillis,
    long removalDelayMillis,
    long heartbeatBytesPerSecond) {

  /** The size of a heartbeat on the wire with its TCP and IP headers. */
  static final long HEARTBEAT_BYTES = 200;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The settings for a handful of instances in each failure domain. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 3_500, 10_000, 15_000, 1_200);

  /** Checks the ranges. */
  public MembershipSettings {
    requirePositive(heartbeatIntervalMillis, "heartbeatIntervalMillis");
    requirePositive(otherDomainIntervalMillis, "domainIntervalMillis");
    requirePositive(heartbeatBytesPerSecond, "heartbeatBytesPerSecond");
    if (heartbeatTimeoutMillis <= heartbeatIntervalMillis) {
      throw new IllegalArgumentException("heartbeat timeout is not above the interval");
    }
    if (removalDelayMillis < heartbeatTimeoutMillis) {
      throw new IllegalArgumentException("quiet time is below the heartbeat timeout");
    }
  }

  /**
   * Returns the time between heartbeats to the peers of a failure domain.
   *
   * @param peerCount how many peers get each heartbeat
   * @return the interval in milliseconds
   */
  public long heartbeatIntervalMillisFor(int peerCount) {
    long bandwidthLimitedMillis = peerCount * HEARTBEAT_BYTES * MILLIS_PER_SECOND / heartbeatBytesPerSecond;
    return Math.max(heartbeatIntervalMillis, bandwidthLimitedMillis);
  }

  /**
   * Returns how long a peer of the own failure domain is held for live without a heartbeat.
   *
   * @param peerCount how many peers get each heartbeat
   * @return the timeout in milliseconds
   */
  public long heartbeatTimeoutMillisFor(int peerCount) {
    return heartbeatTimeoutMillis * heartbeatIntervalMillisFor(peerCount) / heartbeatIntervalMillis;
  }

  /**
   * Returns how long an instance of another failure domain is held for live without a heartbeat.
   *
   * @return the timeout in milliseconds
   */
  public long otherDomainTimeoutMillis() {
    return heartbeatTimeoutMillis * otherDomainIntervalMillis / heartbeatIntervalMillis;
  }

  private static void requirePositive(long value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " is not positive: " + value);
    }
  }
}
