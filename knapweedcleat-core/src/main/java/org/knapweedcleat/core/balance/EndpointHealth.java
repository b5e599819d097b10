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
  private static final long FIRST_PAUSE_MILLIS = 500;

  /** The longest time alone, so that a returned endpoint is found within seconds. */
  private static final long MAX_PAUSE_MILLIS = 4_000;

  /** How long a call on probation may tell nothing, as when its caller leaves, before the next. */
  private static final long TRY_MILLIS = 3_000;

  /** How long a full endpoint is left alone; a running request ends about as often. */
  private static final long FULL_MILLIS = 150;

  /** How much the newest outcome counts in the share of failures. */
  private static final double OUTCOME_WEIGHT = 0.15;

  /**
   * The time in which the share of failures halves by itself, so that an endpoint that gets no
   * calls for its failures gets some again; impairments mostly last a few times as long.
   */
  private static final double FORGET_MILLIS = 2_000;

  /** A share of failures above this is worse than a detour to another region. */
  private static final double MAX_FAILURE_SHARE = 0.25;

  /** How much the newest time counts in the mean time of a call. */
  private static final double TIME_WEIGHT = 0.2;

  /** How long the own contact with an endpoint goes before another instance's word. */
  private static final long OWN_WORD_MILLIS = 300;

  private int failuresInRow;
  private double failureShare;
  private long failureShareAtMillis;
  private long aloneUntilMillis = Long.MIN_VALUE;
  private boolean onProbation;
  private long triedUntilMillis = Long.MIN_VALUE;
  private double meanMillis = -1;
  private boolean unreachable;
  private boolean foundOut;
  private long reachedAtMillis = Long.MIN_VALUE / 2;

  private EndpointHealth() {}

  /**
   * Returns the health of an endpoint of which nothing was seen.
   *
   * @return the health
   */
  public static EndpointHealth unknown() {
    return new EndpointHealth();
  }

  /** Notes that the endpoint did not react: no connection came about or nothing was heard. */
  public void unreachable() {
    suspected();
    foundOut = true;
  }

  /** Notes that the endpoint may have ended: a connection was lost while it carried a call. */
  public void suspected() {
    unreachable = true;
    triedUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Notes that another endpoint answers at the address, or that this one does no such work, as
   * while it changes its part: its entry is out of date for about the longest time alone.
   *
   * @param nowMillis the time
   */
  public void turnedAway(long nowMillis) {
    triedUntilMillis = Long.MIN_VALUE;
    aloneUntilMillis = Math.max(aloneUntilMillis, nowMillis + MAX_PAUSE_MILLIS);
    onProbation = true;
  }

  /**
   * Notes that a connection to the endpoint came about.
   *
   * @param nowMillis the time
   */
  public void reached(long nowMillis) {
    unreachable = false;
    foundOut = false;
    reachedAtMillis = nowMillis;
  }

  /**
   * Takes another instance's word that it cannot reach the endpoint; it counts unless this instance
   * has just reached it.
   *
   * @param nowMillis the time
   */
  public void doubted(long nowMillis) {
    if (nowMillis - reachedAtMillis > OWN_WORD_MILLIS) {
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
  public boolean isFoundUnreachable() {
    return foundOut;
  }

  /**
   * Notes a call that the endpoint answered well.
   *
   * @param nowMillis the time
   * @param tookMillis how long it took
   */
  public void succeeded(long nowMillis, double tookMillis) {
    reached(nowMillis);
    failuresInRow = 0;
    onProbation = false;
    triedUntilMillis = Long.MIN_VALUE;
    failureShare = failureShare(nowMillis) * (1 - OUTCOME_WEIGHT);
    failureShareAtMillis = nowMillis;
    meanMillis = meanMillis < 0 ? tookMillis : meanMillis + TIME_WEIGHT * (tookMillis - meanMillis);
  }

  /**
   * Notes a call that failed because of the endpoint.
   *
   * @param nowMillis the time
   */
  public void failed(long nowMillis) {
    failuresInRow++;
    triedUntilMillis = Long.MIN_VALUE;
    failureShare = failureShare(nowMillis) * (1 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
    failureShareAtMillis = nowMillis;
    if (onProbation || failuresInRow >= 2 || failureShare > MAX_FAILURE_SHARE) {
      int doublings = Math.min(failuresInRow - 1, 3);
      long pauseMillis = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings);
      aloneUntilMillis = nowMillis + pauseMillis;
      onProbation = true;
    }
  }

  /**
   * Notes that the endpoint refused a call for want of room.
   *
   * @param nowMillis the time
   */
  public void full(long nowMillis) {
    triedUntilMillis = Long.MIN_VALUE;
    aloneUntilMillis = Math.max(aloneUntilMillis, nowMillis + FULL_MILLIS);
  }

  /**
   * Notes that a call is sent to the endpoint; on probation it is the only one for a time.
   *
   * @param nowMillis the time
   */
  public void sending(long nowMillis) {
    triedUntilMillis = onProbation ? nowMillis + TRY_MILLIS : Long.MIN_VALUE;
  }

  /**
   * Tells whether the endpoint may get a call now.
   *
   * @param nowMillis the time
   * @return false while it is left alone or tried with one call
   */
  public boolean isTrusted(long nowMillis) {
    return !unreachable && nowMillis >= aloneUntilMillis && nowMillis >= triedUntilMillis;
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
  public double failureShare(long nowMillis) {
    long passedMillis = Math.max(0, nowMillis - failureShareAtMillis);
    return failureShare * Math.pow(0.5, passedMillis / FORGET_MILLIS);
  }

  /**
   * Returns how long recent calls took.
   *
   * @param fallbackMillis what counts as long as no call has ended
   * @return milliseconds
   */
  public double meanMillis(double fallbackMillis) {
    return meanMillis < 0 ? fallbackMillis : meanMillis;
  }
}
