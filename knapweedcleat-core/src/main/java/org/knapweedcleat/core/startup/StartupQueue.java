package org.knapweedcleat.core.startup;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The calls to one service that an instance has in flight after its start, and those that wait
 * until they are within its share of the service's capacity.
 */
public final class StartupQueue {

  /** A stream holds its place for one to three seconds. */
  private static final double HOLD_MILLIS = 2_000;

  /** A refused call returns no earlier; bursts usually last longer. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  private final Map<Long, Long> inFlightTokens = new HashMap<>();
  private final TreeSet<StartingCall> waiting = new TreeSet<>(StartingCall.ORDER);
  private long usedTokens;

  /** What is decided about a call. */
  public sealed interface Decision {

    /**
     * Returns the call.
     *
     * @return the call
     */
    StartingCall call();

    /**
     * The call may be placed.
     *
     * @param call the call
     */
    record Admitted(StartingCall call) implements Decision {}

    /**
     * The call cannot be served in time.
     *
     * @param call the call
     * @param retryAfterMillis when it is expected to be admitted if it returns
     */
    record Refused(StartingCall call, long retryAfterMillis) implements Decision {}
  }

  private StartupQueue() {}

  /**
   * Returns a queue without calls.
   *
   * @return the queue
   */
  public static StartupQueue create() {
    return new StartupQueue();
  }

  /**
   * Adds a call, which waits unless it is decided at once.
   *
   * @param nowMillis the current time
   * @param call the call
   * @param capacity the capacity of the whole service
   * @param limit the limit of the instance
   * @return the decision, or empty if the call waits
   */
  public Optional<Decision> offer(
      long nowMillis, StartingCall call, ServiceCapacity capacity, StartupLimit limit) {
    boolean isFirst = waiting.isEmpty() || StartingCall.ORDER.compare(call, waiting.first()) < 0;
    if (!limit.isInForce() || (isFirst && fits(call, capacity, limit))) {
      return Optional.of(admit(call));
    }
    long expectedMillis =
        expectedWaitMillis(nowMillis, waiting.headSet(call).size(), capacity, limit);
    if (nowMillis + expectedMillis > call.refuseAtMillis()) {
      return Optional.of(refuse(nowMillis, call, capacity, limit));
    }
    waiting.add(call);
    return Optional.empty();
  }

  /**
   * Decides about the next waiting call. To be called until it decides nothing, after a call has
   * ended, the limit has changed or time has passed.
   *
   * @param nowMillis the current time
   * @param capacity the capacity of the whole service
   * @param limit the limit of the instance
   * @return the decision, or empty if all calls keep waiting
   */
  public Optional<Decision> next(long nowMillis, ServiceCapacity capacity, StartupLimit limit) {
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    StartingCall first = waiting.first();
    if (!limit.isInForce() || fits(first, capacity, limit)) {
      waiting.remove(first);
      return Optional.of(admit(first));
    }
    Optional<StartingCall> overdue =
        waiting.stream().filter(call -> nowMillis >= call.refuseAtMillis()).findFirst();
    overdue.ifPresent(waiting::remove);
    return overdue.map(call -> refuse(nowMillis, call, capacity, limit));
  }

  /**
   * Removes a call that has ended, whether it was admitted or waits.
   *
   * @param number the number of the call
   */
  public void end(long number) {
    Long tokens = inFlightTokens.remove(number);
    if (tokens != null) {
      usedTokens -= tokens;
    } else {
      waiting.removeIf(call -> call.number() == number);
    }
  }

  /**
   * Returns whether no call waits.
   *
   * @return true if all calls were decided
   */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  private boolean fits(StartingCall call, ServiceCapacity capacity, StartupLimit limit) {
    return capacity
        .dividedBy(limit.sharers())
        .fits(inFlightTokens.size(), usedTokens, call.memoryTokens());
  }

  private Decision admit(StartingCall call) {
    inFlightTokens.put(call.number(), call.memoryTokens());
    usedTokens += call.memoryTokens();
    return new Decision.Admitted(call);
  }

  private Decision refuse(
      long nowMillis, StartingCall call, ServiceCapacity capacity, StartupLimit limit) {
    long expectedMillis = expectedWaitMillis(nowMillis, waiting.size(), capacity, limit);
    return new Decision.Refused(call, Math.max(MIN_RETRY_AFTER_MILLIS, expectedMillis));
  }

  /**
   * Returns the time until a call is admitted: when the calls ahead have passed through the places
   * that are in use now, but no later than the limit is expected to end.
   */
  private long expectedWaitMillis(
      long nowMillis, int callsAhead, ServiceCapacity capacity, StartupLimit limit) {
    ServiceCapacity share = capacity.dividedBy(limit.sharers());
    long places = Math.max(1, Math.min(share.slots(), inFlightTokens.size()));
    long drainMillis = (long) ((callsAhead + 1) * HOLD_MILLIS / places);
    return Math.min(drainMillis, limit.expectedRemainingMillis(nowMillis));
  }
}
