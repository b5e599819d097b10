package org.knapweedcleat.core.balance;

/**
 * Health of one endpoint as observed by this instance; works like a circuit breaker.
 *
 * <p>An unreachable endpoint gets no calls until a connection to it succeeds. A failing endpoint
 * gets none for a backoff period that doubles with each further failure, and then one probe call at
 * a time until one succeeds. An endpoint whose failure rate is high backs off even if some calls
 * succeed in between.
 */
public final class EndpointHealth {

  /** First backoff; about the duration of a call. */
  private static final long INITIAL_BACKOFF_MILLIS = 500;

  /** Longest backoff, so that a recovered endpoint is used again within seconds. */
  private static final long MAX_BACKOFF_MILLIS = 4_000;

  /**
   * Time after which a probe without an outcome, for example because its caller disconnected, no
   * longer blocks the next one.
   */
  private static final long PROBE_TIMEOUT_MILLIS = 3_000;

  /** Backoff of a full endpoint; about the interval at which running requests end. */
  private static final long FULL_BACKOFF_MILLIS = 150;

  /** Weight of the latest outcome in the failure rate. */
  private static final double OUTCOME_WEIGHT = 0.15;

  /**
   * Half-life of the failure rate while no calls are made, so that an endpoint avoided for its
   * failures gets calls again. Faults typically last a few times as long.
   */
  private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 2_000;

  /** Above this failure rate, a call to another region is the better choice. */
  private static final double MAX_FAILURE_RATE = 0.25;

  /** Weight of the latest duration in the mean duration of a call. */
  private static final double DURATION_WEIGHT = 0.2;

  /** Period after a successful contact in which reports from other instances are ignored. */
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
   * Returns the initial health of an endpoint.
   *
   * @return the health
   */
  public static EndpointHealth initial() {
    return new EndpointHealth();
  }

  /** Records that the endpoint did not respond: it accepted no connection or sent no data. */
  public void markUnreachable() {
    markSuspected();
    locallyUnreachable = true;
  }

  /** Records that the endpoint may have stopped: a connection was lost during a call. */
  public void markSuspected() {
    unreachable = true;
    probeUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Records that another endpoint answers at the address, or that this one does not serve the
   * requested stage, as during a stage change. The directory entry is out of date, so the endpoint
   * backs off for the longest period.
   *
   * @param nowMillis the current time
   */
  public void markMisdirected(long nowMillis) {
    probeUntilMillis = Long.MIN_VALUE;
    backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + MAX_BACKOFF_MILLIS);
    onProbation = true;
  }

  /**
   * Records that a connection to the endpoint succeeded.
   *
   * @param nowMillis the current time
   */
  public void markReachable(long nowMillis) {
    unreachable = false;
    locallyUnreachable = false;
    reachedAtMillis = nowMillis;
  }

  /**
   * Records a report from another instance that it cannot reach the endpoint. The report is ignored
   * if this instance reached the endpoint recently.
   *
   * @param nowMillis the current time
   */
  public void markReportedUnreachable(long nowMillis) {
    if (nowMillis - reachedAtMillis > RECENT_CONTACT_MILLIS) {
      unreachable = true;
    }
  }

  /**
   * Returns whether the endpoint is unreachable, as observed here or reported by another instance.
   *
   * @return true until a connection succeeds
   */
  public boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Returns whether this instance itself failed to reach the endpoint. Only this is reported to
   * other instances, so that they do not confirm each other's reports.
   *
   * @return true until a connection succeeds
   */
  public boolean isLocallyUnreachable() {
    return locallyUnreachable;
  }

  /**
   * Records a successful call.
   *
   * @param nowMillis the current time
   * @param durationMillis the duration of the call
   */
  public void recordSuccess(long nowMillis, double durationMillis) {
    markReachable(nowMillis);
    consecutiveFailures = 0;
    onProbation = false;
    probeUntilMillis = Long.MIN_VALUE;
    failureRate = failureRate(nowMillis) * (1 - OUTCOME_WEIGHT);
    failureRateAtMillis = nowMillis;
    meanDurationMillis =
        meanDurationMillis < 0
            ? durationMillis
            : meanDurationMillis + DURATION_WEIGHT * (durationMillis - meanDurationMillis);
  }

  /**
   * Records a call that failed because of the endpoint.
   *
   * @param nowMillis the current time
   */
  public void recordFailure(long nowMillis) {
    consecutiveFailures++;
    probeUntilMillis = Long.MIN_VALUE;
    failureRate = failureRate(nowMillis) * (1 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
    failureRateAtMillis = nowMillis;
    if (onProbation || consecutiveFailures >= 2 || failureRate > MAX_FAILURE_RATE) {
      int doublings = Math.min(consecutiveFailures - 1, 3);
      long backoffMillis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings);
      backoffUntilMillis = nowMillis + backoffMillis;
      onProbation = true;
    }
  }

  /**
   * Records that the endpoint refused a call for lack of capacity.
   *
   * @param nowMillis the current time
   */
  public void markFull(long nowMillis) {
    probeUntilMillis = Long.MIN_VALUE;
    backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + FULL_BACKOFF_MILLIS);
  }

  /**
   * Records that a call is sent to the endpoint. On probation it is the only one until it ends or
   * times out.
   *
   * @param nowMillis the current time
   */
  public void recordSend(long nowMillis) {
    probeUntilMillis = onProbation ? nowMillis + PROBE_TIMEOUT_MILLIS : Long.MIN_VALUE;
  }

  /**
   * Returns whether the endpoint may get a call now.
   *
   * @param nowMillis the current time
   * @return false if it is unreachable, backing off or being probed
   */
  public boolean acceptsCall(long nowMillis) {
    return !unreachable && nowMillis >= backoffUntilMillis && nowMillis >= probeUntilMillis;
  }

  /**
   * Returns whether the endpoint has backed off and had no success since.
   *
   * @return true for an endpoint that is backing off or being probed
   */
  boolean isOnProbation() {
    return onProbation;
  }

  /**
   * Returns the failure rate of recent calls.
   *
   * @param nowMillis the current time
   * @return 0 to 1
   */
  public double failureRate(long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - failureRateAtMillis);
    return failureRate * Math.pow(0.5, elapsedMillis / FAILURE_RATE_HALF_LIFE_MILLIS);
  }

  /**
   * Returns the mean duration of recent calls.
   *
   * @param fallbackMillis the value to return before the first success
   * @return milliseconds
   */
  public double meanDurationMillis(double fallbackMillis) {
    return meanDurationMillis < 0 ? fallbackMillis : meanDurationMillis;
  }
}
