package org.knapweedcleat.core.membership;

/**
 * Settings of the membership protocol.
 *
 * @param heartbeatIntervalMillis the interval between heartbeats within a failure domain
 * @param heartbeatTimeoutMillis how long an instance counts as live without a heartbeat
 * @param otherDomainIntervalMillis the interval between heartbeats to other failure domains
 * @param removalDelayMillis how long an instance that is neither heard nor listed may still be
 *     running; covers the lag of the list and the longest lease
 * @param heartbeatBytesPerSecond the bandwidth limit for heartbeats within a failure domain; with
 *     many peers the interval and the timeout grow by the same factor
 */
public record MembershipSettings(
    long heartbeatIntervalMillis,
    long heartbeatTimeoutMillis,
    long otherDomainIntervalMillis,
    long removalDelayMillis,
    long heartbeatBytesPerSecond) {

  /** The size of a heartbeat including its TCP and IP headers. */
  static final long HEARTBEAT_BYTES = 200;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The defaults, for a small number of instances per failure domain. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 3_500, 10_000, 15_000, 1_200);

  /** Checks the ranges. */
  public MembershipSettings {
    requirePositive(heartbeatIntervalMillis, "heartbeatIntervalMillis");
    requirePositive(otherDomainIntervalMillis, "domainIntervalMillis");
    requirePositive(heartbeatBytesPerSecond, "heartbeatBytesPerSecond");
    if (heartbeatTimeoutMillis <= heartbeatIntervalMillis) {
      throw new IllegalArgumentException(
          "heartbeat timeout must be greater than the heartbeat interval");
    }
    if (removalDelayMillis < heartbeatTimeoutMillis) {
      throw new IllegalArgumentException(
          "removal delay must not be less than the heartbeat timeout");
    }
  }

  /**
   * Returns the interval between heartbeats to the peers of this failure domain.
   *
   * @param peerCount the number of peers that each heartbeat is sent to
   * @return the interval in milliseconds
   */
  public long heartbeatIntervalMillisFor(int peerCount) {
    long bandwidthLimitedMillis =
        peerCount * HEARTBEAT_BYTES * MILLIS_PER_SECOND / heartbeatBytesPerSecond;
    return Math.max(heartbeatIntervalMillis, bandwidthLimitedMillis);
  }

  /**
   * Returns how long a peer of this failure domain counts as live without a heartbeat.
   *
   * @param peerCount the number of peers that each heartbeat is sent to
   * @return the timeout in milliseconds
   */
  public long heartbeatTimeoutMillisFor(int peerCount) {
    return heartbeatTimeoutMillis * heartbeatIntervalMillisFor(peerCount) / heartbeatIntervalMillis;
  }

  /**
   * Returns how long an instance of another failure domain counts as live without a heartbeat.
   *
   * @return the timeout in milliseconds
   */
  public long otherDomainTimeoutMillis() {
    return heartbeatTimeoutMillis * otherDomainIntervalMillis / heartbeatIntervalMillis;
  }

  private static void requirePositive(long value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
