package org.knapweedcleat.core.throttle;

import java.util.Optional;
import org.knapweedcleat.core.directory.PublishedFault;

/** Judges the times for which endpoints state that they stay cold. */
public final class ColdTimeRule {

  /** The longest plausible time of a service that does not publish how long its endpoints take. */
  static final long DEFAULT_MAX_MILLIS = 600_000;

  /** An endpoint under load takes longer than its service publishes, but not many times longer. */
  private static final long MAX_COLD_STARTS = 4;

  private final long coldStartMillis;

  private ColdTimeRule(long coldStartMillis) {
    this.coldStartMillis = coldStartMillis;
  }

  /**
   * Returns the rule for a service.
   *
   * @param coldStartMillis how long its endpoints stay cold after a start; 0 if unknown
   * @return the rule
   */
  public static ColdTimeRule of(long coldStartMillis) {
    return new ColdTimeRule(coldStartMillis);
  }

  /**
   * Checks a time.
   *
   * @param subject what states the time
   * @param remainingMillis the time
   * @return the fault; empty if the time is plausible
   */
  public Optional<PublishedFault> check(String subject, long remainingMillis) {
    if (remainingMillis < 0) {
      return fault(PublishedFault.Kind.INVALID_COLD_TIME, subject, remainingMillis);
    }
    if (remainingMillis > maxMillis()) {
      return fault(PublishedFault.Kind.IMPLAUSIBLE_COLD_TIME, subject, remainingMillis);
    }
    return Optional.empty();
  }

  /**
   * Returns the time that counts. An endpoint with an implausibly long time is cold for as long as
   * one that has just started: too many requests at once would crash it if it is cold at all.
   *
   * @param remainingMillis the stated time
   * @return milliseconds, 0 if the time is invalid
   */
  public long effectiveMillis(long remainingMillis) {
    if (remainingMillis > maxMillis()) {
      return coldStartMillis > 0 ? coldStartMillis : DEFAULT_MAX_MILLIS;
    }
    return Math.max(0, remainingMillis);
  }

  private long maxMillis() {
    return coldStartMillis > 0 ? MAX_COLD_STARTS * coldStartMillis : DEFAULT_MAX_MILLIS;
  }

  private static Optional<PublishedFault> fault(
      PublishedFault.Kind kind, String subject, long remainingMillis) {
    return Optional.of(new PublishedFault(kind, subject, Long.toString(remainingMillis)));
  }
}
