package org.knapweedcleat.core.balance;

/**
 * What is seen of one endpoint's health.
 *
 * <p>An endpoint that cannot be reached gets nothing until a connection to it comes about. One that
 * fails is left alone for a time, which doubles while it goes on to fail; after that it gets one
 * call at a time until one succeeds. One that fails a part of its calls is left alone when that
 * part is large.
 */
public final class EndpointHealth {

  /** The first time alone; about as long as a call takes. */
  private static final long INITIAL_BACKOFF_MILLIS = 500;

  /** The longest time alone, so that a returned endpoint is found within seconds. */
  private static final long MAX_BACKOFF_MILLIS = 4_000;

  /** How long a call on probation may tell nothing, as when its caller leaves, before the next. */
  private static final long PROBE_TIMEOUT_MILLIS = 3_000;

  /** How long a full endpoint is left alone; a running request ends about as often. */
  private static final long FULL_BACKOFF_MILLIS = 150;

  /** How much the newest outcome counts in the share of failures. */
  private static final double OUTCOME_WEIGHT = 0.15;

  /**
   * The time in which the share of failures halves by itself, so that an endpoint that gets no
   * calls for its failures gets some again; impairments mostly last a few times as long.
   */
  private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 2_000;

  /** A share of failures above this is worse than a detour to another region. */
  private static final double MAX_FAILURE_RATE = 0.25;

  /** How much the newest time counts in the mean time of a call. */
  private static final double DURATION_WEIGHT = 0.2;

  /** How long the own contact with an endpoint goes before another instance's word. */
  private static final long RECENT_CONTACT_MILLIS = 300;

  private int consecutiveFailures;
  private double failureRate;
  private long failureRateAtMillis;
  private long backoffUntilMillis = Long.MIN_VALUE;
  private boolean onProbation;
  private long probeUntilMillis = Long.MIN_VALUE;
  private double meanDurationMillis = -1;
  private boolean unreachable;
  private boolean locallyUnreachable;
  private long reachedAtMillis = Long.MIN_VALUE / 2;

  private EndpointHealth() {}

  /**
   * Returns the health of an endpoint of which nothing was seen.
   *
   * @return the health
   */
  public static EndpointHealth initial() {
    return new EndpointHealth();
  }

  /** Notes that the endpoint did not react: no connection came about or nothing was heard. */
  public void markUnreachable() {
    markSuspected();
    locallyUnreachable = true;
  }

  /** Notes that the endpoint may have ended: a connection was lost while it carried a call. */
  public void markSuspected() {
    unreachable = true;
    probeUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Notes that another endpoint answers at the address, or that this one does no such work, as
   * while it changes its part: its entry is out of date for about the longest time alone.
   *
   * @param nowMillis the time
   */
  public void markMisdirected(long nowMillis) {
    probeUntilMillis = Long.MIN_VALUE;
    backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + MAX_BACKOFF_MILLIS);
    onProbation = true;
  }

  /**
   * Notes that a connection to the endpoint came about.
   *
   * @param nowMillis the time
   */
  public void markReachable(long nowMillis) {
    unreachable = false;
    locallyUnreachable = false;
    reachedAtMillis = nowMillis;
  }

  /**
   * Takes another instance's word that it cannot reach the endpoint; it counts unless this instance
   * has just reached it.
   *
   * @param nowMillis the time
   */
  public void markReportedUnreachable(long nowMillis) {
    if (nowMillis - reachedAtMillis > RECENT_CONTACT_MILLIS) {
      unreachable = true;
    }
  }

  /**
   * Tells whether the endpoint could not be reached.
   *
   * @return true until a connection comes about
   */
  public boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Tells whether this instance itself could not reach the endpoint; only that is told to others,
   * lest they go by each other's word.
   *
   * @return true until a connection comes about
   */
  public boolean isLocallyUnreachable() {
    return locallyUnreachable;
  }

  /**
   * Notes a call that the endpoint answered well.
   *
   * @param nowMillis the time
   * @param tookMillis how long it took
   */
  public void recordSuccess(long nowMillis, double tookMillis) {
    markReachable(nowMillis);
    consecutiveFailures = 0;
    onProbation = false;
    probeUntilMillis = Long.MIN_VALUE;
    failureRate = failureRate(nowMillis) * (1 - OUTCOME_WEIGHT);
    failureRateAtMillis = nowMillis;
    meanDurationMillis = meanDurationMillis < 0 ? tookMillis : meanDurationMillis + DURATION_WEIGHT * (tookMillis - meanDurationMillis);
  }

  /**
   * Notes a call that failed because of the endpoint.
   *
   * @param nowMillis the time
   */
  public void recordFailure(long nowMillis) {
    consecutiveFailures++;
    probeUntilMillis = Long.MIN_VALUE;
    failureRate = failureRate(nowMillis) * (1 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
    failureRateAtMillis = nowMillis;
    if (onProbation || consecutiveFailures >= 2 || failureRate > MAX_FAILURE_RATE) {
      int doublings = Math.min(consecutiveFailures - 1, 3);
      long pauseMillis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings);
      backoffUntilMillis = nowMillis + pauseMillis;
      onProbation = true;
    }
  }

  /**
   * Notes that the endpoint refused a call for want of room.
   *
   * @param nowMillis the time
   */
  public void markFull(long nowMillis) {
    probeUntilMillis = Long.MIN_VALUE;
    backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + FULL_BACKOFF_MILLIS);
  }

  /**
   * Notes that a call is sent to the endpoint; on probation it is the only one for a time.
   *
   * @param nowMillis the time
   */
  public void recordSend(long nowMillis) {
    probeUntilMillis = onProbation ? nowMillis + PROBE_TIMEOUT_MILLIS : Long.MIN_VALUE;
  }

  /**
   * Tells whether the endpoint may get a call now.
   *
   * @param nowMillis the time
   * @return false while it is left alone or tried with one call
   */
  public boolean acceptsCall(long nowMillis) {
    return !unreachable && nowMillis >= backoffUntilMillis && nowMillis >= probeUntilMillis;
  }

  /**
   * Tells whether a failure has not been followed by a success.
   *
   * @return true for an endpoint that is left alone or tried
   */
  boolean isOnProbation() {
    return onProbation;
  }

  /**
   * Returns the share of failures among recent calls.
   *
   * @param nowMillis the time
   * @return 0 to 1
   */
  public double failureRate(long nowMillis) {
    long passedMillis = Math.max(0, nowMillis - failureRateAtMillis);
    return failureRate * Math.pow(0.5, passedMillis / FAILURE_RATE_HALF_LIFE_MILLIS);
  }

  /**
   * Returns how long recent calls took.
   *
   * @param fallbackMillis what counts as long as no call has ended
   * @return milliseconds
   */
  public double meanDurationMillis(double fallbackMillis) {
    return meanDurationMillis < 0 ? fallbackMillis : meanDurationMillis;
  }
}
