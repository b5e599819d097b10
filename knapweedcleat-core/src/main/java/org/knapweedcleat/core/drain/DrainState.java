package org.knapweedcleat.core.drain;

import java.util.OptionalLong;

/**
 * How far the planned stop of an instance has come.
 *
 * <p>For a grace time after its beginning new requests are still served, since the balancer goes on
 * sending them until it has noticed; after that they are refused as not run.
 */
public final class DrainState {

  /** How long new requests are still served after the beginning. */
  public static final long GRACE_PERIOD_MILLIS = 3_000;

  /** After this time unconfirmed cancels are left to the schedulers, which see the orphans. */
  public static final long CANCEL_TIMEOUT_MILLIS = 10_000;

  private final long maxDrainMillis;
  private OptionalLong startedAtMillis = OptionalLong.empty();

  private DrainState(long limitMillis) {
    this.maxDrainMillis = limitMillis;
  }

  /**
   * Returns the state of an instance that is not stopping.
   *
   * @param limitMillis after this time what still runs is cut; not before the grace time ends
   * @return the state
   */
  public static DrainState initial(long limitMillis) {
    return new DrainState(Math.max(limitMillis, GRACE_PERIOD_MILLIS));
  }

  /**
   * Begins the stop.
   *
   * @param nowMillis the time, monotonic
   * @return false if it had begun before
   */
  public boolean start(long nowMillis) {
    if (startedAtMillis.isPresent()) {
      return false;
    }
    startedAtMillis = OptionalLong.of(nowMillis);
    return true;
  }

  /**
   * Tells whether the stop has begun.
   *
   * @return true from the beginning on
   */
  public boolean isDraining() {
    return startedAtMillis.isPresent();
  }

  /**
   * Tells whether new requests are served.
   *
   * @param nowMillis the time
   * @return true until the grace time is over
   */
  public boolean admitsRequests(long nowMillis) {
    return startedAtMillis.isEmpty() || nowMillis - startedAtMillis.getAsLong() < GRACE_PERIOD_MILLIS;
  }

  /**
   * Tells whether the instance may end.
   *
   * @param nowMillis the time
   * @param running the requests that run
   * @param unusedTickets the tickets that may still come with a first call
   * @param cancels the cancels that endpoints have not confirmed
   * @return true when nothing is left or its limit has passed
   */
  public boolean isComplete(long nowMillis, long running, long unusedTickets, long cancels) {
    if (startedAtMillis.isEmpty() || admitsRequests(nowMillis)) {
      return false;
    }
    long drainingMillis = nowMillis - startedAtMillis.getAsLong();
    boolean cancelsDone = cancels == 0 || drainingMillis >= CANCEL_TIMEOUT_MILLIS;
    boolean nothingLeft = running == 0 && unusedTickets == 0 && cancelsDone;
    return nothingLeft || drainingMillis >= maxDrainMillis;
  }
}
