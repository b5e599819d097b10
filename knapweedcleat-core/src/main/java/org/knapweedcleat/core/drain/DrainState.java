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
  public static final long GRACE_MILLIS = 3_000;

  /** After this time unconfirmed cancels are left to the schedulers, which see the orphans. */
  public static final long CANCEL_LIMIT_MILLIS = 10_000;

  private final long limitMillis;
  private OptionalLong sinceMillis = OptionalLong.empty();

  private DrainState(long limitMillis) {
    this.limitMillis = limitMillis;
  }

  /**
   * Returns the state of an instance that is not stopping.
   *
   * @param limitMillis after this time what still runs is cut; not before the grace time ends
   * @return the state
   */
  public static DrainState open(long limitMillis) {
    return new DrainState(Math.max(limitMillis, GRACE_MILLIS));
  }

  /**
   * Begins the stop.
   *
   * @param nowMillis the time, monotonic
   * @return false if it had begun before
   */
  public boolean begin(long nowMillis) {
    if (sinceMillis.isPresent()) {
      return false;
    }
    sinceMillis = OptionalLong.of(nowMillis);
    return true;
  }

  /**
   * Tells whether the stop has begun.
   *
   * @return true from the beginning on
   */
  public boolean isDraining() {
    return sinceMillis.isPresent();
  }

  /**
   * Tells whether new requests are served.
   *
   * @param nowMillis the time
   * @return true until the grace time is over
   */
  public boolean admits(long nowMillis) {
    return sinceMillis.isEmpty() || nowMillis - sinceMillis.getAsLong() < GRACE_MILLIS;
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
  public boolean isDone(long nowMillis, long running, long unusedTickets, long cancels) {
    if (sinceMillis.isEmpty() || admits(nowMillis)) {
      return false;
    }
    long drainingMillis = nowMillis - sinceMillis.getAsLong();
    boolean cancelsDone = cancels == 0 || drainingMillis >= CANCEL_LIMIT_MILLIS;
    boolean nothingLeft = running == 0 && unusedTickets == 0 && cancelsDone;
    return nothingLeft || drainingMillis >= limitMillis;
  }
}
