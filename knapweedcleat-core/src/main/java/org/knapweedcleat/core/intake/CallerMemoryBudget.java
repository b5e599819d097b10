package org.knapweedcleat.core.intake;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which requests of callers are read, refused or ended, by the memory that an instance
 * holds for all of them. The state is local to the instance and empty after a start.
 *
 * <p>Up to the threshold for large requests everything is read. Above it, large requests are
 * stopped and new ones refused, while small ones continue. Above the capacity, connections are
 * ended, first those whose callers have made no progress for longest, and among them those that
 * hold most. A request that is alone in holding much memory is always served.
 */
public final class CallerMemoryBudget {

  /** Requests up to this size may use the part of the budget that is closed to larger ones. */
  public static final long SMALL_REQUEST_BYTES = 65_536;

  /** Part of the budget that is reserved for small requests. */
  private static final double SMALL_REQUESTS_PART = 1.0 / 8;

  /** Bodies that arrive evenly hold half of their length on average. */
  private static final double EXPECTED_OVERCOMMIT = 2;

  /** Part of the budget that the unread responses of one connection may hold. */
  private static final double RESPONSES_PART = 1.0 / 16;

  /** A caller that sends or reads at all does so within this time, unless its link is broken. */
  private static final long STALLED_MILLIS = 1_000;

  /** Longer than the gap between the packets of a caller that sends steadily. */
  private static final long SLOW_MILLIS = 250;

  /** A stopped request is continued or refused well within the shortest deadlines of callers. */
  private static final long MAX_STOP_MILLIS = 1_000;

  /** A caller waits for up to a third of its remaining time; deadlines are a few seconds. */
  private static final long MIN_RETRY_MILLIS = 400;

  private static final int RETRY_SPREAD_MILLIS = 600;

  /** A prime, so that the retry times of subsequent connections differ. */
  private static final int RETRY_STEP_MILLIS = 37;

  /** How to end what a connection holds. */
  public enum Eviction {
    /** Refuse the partial request with 503; it has not run. */
    REFUSE,
    /** Close the connection, whose response is not read. */
    CLOSE
  }

  /**
   * A connection whose memory is to be freed.
   *
   * @param held what the connection holds
   * @param eviction how to end it
   */
  public record Victim(HeldMemory held, Eviction eviction) {}

  private final long capacityBytes;
  private final long largeThresholdBytes;
  private final Set<HeldMemory> connections = new LinkedHashSet<>();
  private final Set<HeldMemory> stopped = new LinkedHashSet<>();
  private long totalBytes;
  private long expectedBytes;
  private int partialRequests;
  private long opened;

  private CallerMemoryBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
    this.largeThresholdBytes = capacityBytes - (long) (SMALL_REQUESTS_PART * capacityBytes);
  }

  /**
   * Returns a budget of which nothing is used.
   *
   * @param capacityBytes the memory that may be held for callers
   * @return the budget
   */
  public static CallerMemoryBudget of(long capacityBytes) {
    return new CallerMemoryBudget(capacityBytes);
  }

  /**
   * Adds a connection that holds nothing.
   *
   * @param caller the caller's address
   * @param nowMillis the current time
   * @return what it holds
   */
  public HeldMemory open(String caller, long nowMillis) {
    HeldMemory held = new HeldMemory(++opened, caller, nowMillis);
    connections.add(held);
    add(held);
    return held;
  }

  /**
   * Removes a connection.
   *
   * @param held what it holds
   */
  public void close(HeldMemory held) {
    stopped.remove(held);
    if (connections.remove(held)) {
      subtract(held);
    }
  }

  /**
   * Records what a connection holds from now on.
   *
   * @param held the connection's record
   * @param isPartial whether a request has been received in part
   * @param partialBytes the memory of the request that is being received
   * @param completeBytes the memory of requests that wait or are handled
   * @param responseBytes the memory of responses that the caller has not read
   */
  public void update(
      HeldMemory held,
      boolean isPartial,
      long partialBytes,
      long completeBytes,
      long responseBytes) {
    if (!connections.contains(held)) {
      return;
    }
    subtract(held);
    held.hold(isPartial, partialBytes, completeBytes, responseBytes);
    add(held);
    if (!isPartial) {
      stopped.remove(held);
      held.cancelStop();
    }
  }

  /**
   * Records that a caller has sent or read something.
   *
   * @param held the connection's record
   * @param nowMillis the current time
   */
  public void recordProgress(HeldMemory held, long nowMillis) {
    held.recordProgress(nowMillis);
  }

  /**
   * Decides whether to receive a body.
   *
   * @param held the connection's record
   * @param bodyBytes the announced length, 0 if unknown
   * @return false if the request is to be refused
   */
  public boolean admitsBody(HeldMemory held, long bodyBytes) {
    if (bodyBytes > SMALL_REQUEST_BYTES && !isAlone(held)) {
      boolean fits =
          totalBytes + SMALL_REQUEST_BYTES <= largeThresholdBytes
              && expectedBytes - held.expectedBytes() + bodyBytes
                  <= EXPECTED_OVERCOMMIT * largeThresholdBytes;
      if (!fits) {
        return false;
      }
    }
    if (connections.contains(held)) {
      subtract(held);
      held.announce(bodyBytes);
      add(held);
    }
    return true;
  }

  /**
   * Decides whether a complete request is handled.
   *
   * @param held the connection's record
   * @return false if the request is to be refused
   */
  public boolean admitsCall(HeldMemory held) {
    return totalBytes <= capacityBytes || isAlone(held);
  }

  /**
   * Decides whether a response is held back until it is complete. The part of the budget for small
   * requests stays free of large responses, since responses may be incomplete for long.
   *
   * @param held the connection's record
   * @param responseBytes the memory of what has arrived of the response
   * @return false if the response is to be passed on as it arrives
   */
  public boolean mayHoldResponse(HeldMemory held, long responseBytes) {
    long limitBytes = responseBytes > SMALL_REQUEST_BYTES ? largeThresholdBytes : capacityBytes;
    return totalBytes <= limitBytes || isAlone(held);
  }

  /**
   * Decides whether a connection's next request is handled before its responses have been read.
   *
   * @param held the connection's record
   * @return false if it waits until the caller reads
   */
  public boolean admitsNextCall(HeldMemory held) {
    return held.responseBytes() <= RESPONSES_PART * capacityBytes;
  }

  /**
   * Decides whether a connection is read, and records that it is stopped if not. The first bytes of
   * a request are always read, since they may be all of a small one.
   *
   * @param held the connection's record
   * @param nowMillis the current time
   * @return false if it is not to be read until {@link #resumable}
   */
  public boolean mayRead(HeldMemory held, long nowMillis) {
    if (!held.hasPartialRequest() || fits(held) || isAlone(held)) {
      return true;
    }
    held.stop(nowMillis);
    stopped.add(held);
    return false;
  }

  /**
   * Returns the stopped connections that may be read again, those with the least left to receive
   * first; they are recorded as resumed.
   *
   * @param nowMillis the current time
   * @return the connections
   */
  public List<HeldMemory> resumable(long nowMillis) {
    List<HeldMemory> candidates =
        stopped.stream()
            .sorted(Comparator.comparingLong(held -> held.expectedBytes() - held.totalBytes()))
            .toList();
    long[] free = {largeThresholdBytes - totalBytes, capacityBytes - totalBytes};
    List<HeldMemory> resumed =
        candidates.stream()
            .filter(
                held -> {
                  if (free[isLarge(held) ? 0 : 1] < SMALL_REQUEST_BYTES && !isAlone(held)) {
                    return false;
                  }
                  free[0] -= SMALL_REQUEST_BYTES;
                  free[1] -= SMALL_REQUEST_BYTES;
                  return true;
                })
            .toList();
    resumed.forEach(held -> held.resume(nowMillis));
    resumed.forEach(stopped::remove);
    return resumed;
  }

  /**
   * Returns the connection to end next while more memory is held than the capacity, or while a
   * connection has been stopped for too long.
   *
   * @param nowMillis the current time
   * @return the connection, or nothing if none has to be ended
   */
  public Optional<Victim> nextVictim(long nowMillis) {
    boolean overdue =
        stopped.stream().anyMatch(held -> held.stoppedForMillis(nowMillis) > MAX_STOP_MILLIS);
    return totalBytes > capacityBytes || overdue
        ? worst(nowMillis, HeldMemory::isEvictable)
        : Optional.empty();
  }

  /**
   * Returns a connection to end in place of another one that is over a limit on their number: one
   * that holds a partial request or unread response without progress.
   *
   * @param nowMillis the current time
   * @return the connection, or nothing if all make progress
   */
  public Optional<Victim> stalledConnection(long nowMillis) {
    return worst(
        nowMillis, held -> held.isEvictable() && held.stalledMillis(nowMillis) >= STALLED_MILLIS);
  }

  /**
   * Returns the oldest connection over which nothing has been sent for a second.
   *
   * @param nowMillis the current time
   * @return the connection, or nothing if there is none
   */
  public Optional<Victim> silentConnection(long nowMillis) {
    return connections.stream()
        .filter(held -> !held.hasSent() && held.stalledMillis(nowMillis) >= STALLED_MILLIS)
        .findFirst()
        .map(held -> new Victim(held, Eviction.CLOSE));
  }

  /**
   * Returns when a refused caller may come back; spread by connection.
   *
   * @param held the connection's record
   * @return the time in milliseconds
   */
  public long retryAfterMillis(HeldMemory held) {
    return MIN_RETRY_MILLIS + held.number() * RETRY_STEP_MILLIS % RETRY_SPREAD_MILLIS;
  }

  /**
   * Returns the memory held for all callers.
   *
   * @return the estimated heap in bytes
   */
  public long totalBytes() {
    return totalBytes;
  }

  /**
   * Returns the memory that may be held for callers.
   *
   * @return the capacity in bytes
   */
  public long capacityBytes() {
    return capacityBytes;
  }

  /**
   * Returns the number of connections with a partly received request.
   *
   * @return the number
   */
  public int partialRequests() {
    return partialRequests;
  }

  /**
   * Returns the connection that holds most.
   *
   * @return what it holds, or nothing if there is no connection
   */
  public Optional<HeldMemory> largest() {
    return connections.stream().max(Comparator.comparingLong(HeldMemory::totalBytes));
  }

  /**
   * Returns the number of connections.
   *
   * @return the number
   */
  public int connections() {
    return connections.size();
  }

  /**
   * Returns the number of stopped connections.
   *
   * @return the number
   */
  public int stoppedConnections() {
    return stopped.size();
  }

  private Optional<Victim> worst(long nowMillis, Predicate<HeldMemory> eligible) {
    return connections.stream()
        .filter(eligible)
        .filter(held -> !isAlone(held))
        .max(
            Comparator.<HeldMemory>comparingInt(held -> slowness(held.stalledMillis(nowMillis)))
                .thenComparingLong(HeldMemory::evictableBytes))
        .map(held -> new Victim(held, held.holdsResponse() ? Eviction.CLOSE : Eviction.REFUSE));
  }

  private static int slowness(long stalledMillis) {
    if (stalledMillis >= STALLED_MILLIS) {
      return 2;
    }
    return stalledMillis >= SLOW_MILLIS ? 1 : 0;
  }

  private boolean fits(HeldMemory held) {
    return totalBytes <= (isLarge(held) ? largeThresholdBytes : capacityBytes);
  }

  private static boolean isLarge(HeldMemory held) {
    return Math.max(held.expectedBytes(), held.totalBytes()) > SMALL_REQUEST_BYTES;
  }

  /** Tells whether the others hold and expect no more than the part for small requests. */
  private boolean isAlone(HeldMemory held) {
    long smallPartBytes = capacityBytes - largeThresholdBytes;
    return totalBytes - held.totalBytes() <= smallPartBytes
        && expectedBytes - held.expectedBytes() <= smallPartBytes;
  }

  private void add(HeldMemory held) {
    totalBytes += held.totalBytes();
    expectedBytes += held.expectedBytes();
    partialRequests += held.hasPartialRequest() ? 1 : 0;
  }

  private void subtract(HeldMemory held) {
    totalBytes -= held.totalBytes();
    expectedBytes -= held.expectedBytes();
    partialRequests -= held.hasPartialRequest() ? 1 : 0;
  }
}
