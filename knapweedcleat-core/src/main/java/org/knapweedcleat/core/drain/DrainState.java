package org.knapweedcleat.core.drain;

import java.util.OptionalLong;

/**
 * Progress of the planned shutdown of an instance.
 *
 * <p>New requests are still served for a grace period after the start, because the load balancer
 * continues to send them until it has noticed. After that they are refused as not run.
 */
public final class DrainState {

  /** How long new requests are still served after the start. */
  public static final long GRACE_PERIOD_MILLIS = 3_000;

  /**
   * How long to wait for unconfirmed cancellations. After that they are left to the schedulers,
   * which detect orphaned requests.
   */
  public static final long CANCEL_TIMEOUT_MILLIS = 10_000;

  private final long maxDrainMillis;
  private OptionalLong startedAtMillis = OptionalLong.empty();

  private DrainState(long maxDrainMillis) {
    this.maxDrainMillis = maxDrainMillis;
  }

  /**
   * Returns the state of an instance that is not draining.
   *
   * @param maxDrainMillis the time after which running requests are aborted; at least the grace
   *     period
   * @return the state
   */
  public static DrainState initial(long maxDrainMillis) {
    return new DrainState(Math.max(maxDrainMillis, GRACE_PERIOD_MILLIS));
  }

  /**
   * Starts draining.
   *
   * @param nowMillis the current time from a monotonic clock
   * @return false if draining had already started
   */
  public boolean start(long nowMillis) {
    if (startedAtMillis.isPresent()) {
      return false;
    }
    startedAtMillis = OptionalLong.of(nowMillis);
    return true;
  }

  /**
   * Returns whether draining has started.
   *
   * @return true from the start on
   */
  public boolean isDraining() {
    return startedAtMillis.isPresent();
  }

  /**
   * Returns whether new requests are served.
   *
   * @param nowMillis the current time
   * @return true until the grace period has ended
   */
  public boolean admitsRequests(long nowMillis) {
    return startedAtMillis.isEmpty()
        || nowMillis - startedAtMillis.getAsLong() < GRACE_PERIOD_MILLIS;
  }

  /**
   * Returns whether the instance may exit.
   *
   * @param nowMillis the current time
   * @param runningRequests the number of running requests
   * @param unusedTickets the number of tickets that may still be used by a first call
   * @param unconfirmedCancels the number of cancellations that endpoints have not confirmed
   * @return true when nothing is left to wait for or the maximum drain time has passed
   */
  public boolean isComplete(
      long nowMillis, long runningRequests, long unusedTickets, long unconfirmedCancels) {
    if (startedAtMillis.isEmpty() || admitsRequests(nowMillis)) {
      return false;
    }
    long drainingMillis = nowMillis - startedAtMillis.getAsLong();
    boolean cancelsDone = unconfirmedCancels == 0 || drainingMillis >= CANCEL_TIMEOUT_MILLIS;
    boolean nothingLeft = runningRequests == 0 && unusedTickets == 0 && cancelsDone;
    return nothingLeft || drainingMillis >= maxDrainMillis;
  }
}
