package org.knapweedcleat.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * Tracks cancellations that endpoints have not confirmed and schedules their retries.
 *
 * <p>Any response to a cancellation confirms it, whether or not the endpoint held memory for the
 * request, so a restarted endpoint confirms too. While an endpoint is unreachable the state of its
 * memory is unknown: the cancellation is still retried, but the time limit for {@link
 * Invariant#MEMORY_RELEASED} restarts.
 */
public final class CancellationTracker {

  /** The time within which a reachable endpoint has to confirm a cancellation. */
  public static final long CONFIRMATION_TIMEOUT_MILLIS = 30_000;

  private static final long FIRST_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  private final InvariantMonitor monitor;
  private final Map<Cancel, Entry> entriesByCancel = new HashMap<>();

  private CancellationTracker(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  /**
   * Returns an empty tracker.
   *
   * @param monitor records invariant violations
   * @return the tracker
   */
  public static CancellationTracker of(InvariantMonitor monitor) {
    return new CancellationTracker(monitor);
  }

  /**
   * Adds a cancellation that is due immediately. If one exists for the endpoint and request, it
   * keeps the higher attempt number.
   *
   * @param nowMillis the current monotonic time
   * @param endpoint the endpoint
   * @param request the request that the endpoint may hold memory for
   * @param attempt the placement attempt to cancel, along with all earlier ones
   */
  public void add(long nowMillis, EndpointId endpoint, RequestId request, int attempt) {
    Cancel cancel = new Cancel(endpoint, request);
    Entry entry = entriesByCancel.computeIfAbsent(cancel, key -> new Entry(nowMillis));
    entry.attempt = Math.max(entry.attempt, attempt);
    entry.dueAtMillis = Math.min(entry.dueAtMillis, nowMillis);
  }

  /**
   * Returns the cancellations that are due and marks them as in flight until their confirmation or
   * failure is recorded. Also reports overdue cancellations as invariant violations.
   *
   * @param nowMillis the current monotonic time
   * @return the cancellations to send
   */
  public List<Cancel> takeDue(long nowMillis) {
    List<Cancel> due = new ArrayList<>();
    entriesByCancel.forEach(
        (cancel, entry) -> {
          checkOverdue(nowMillis, cancel, entry);
          if (!entry.inFlight && entry.dueAtMillis <= nowMillis) {
            entry.inFlight = true;
            due.add(cancel);
          }
        });
    return due;
  }

  /**
   * Returns the placement attempt that a cancellation covers.
   *
   * @param cancel the cancellation
   * @return the attempt number, from 1, or empty if the cancellation is no longer tracked
   */
  public Optional<Integer> attempt(Cancel cancel) {
    return Optional.ofNullable(entriesByCancel.get(cancel)).map(entry -> entry.attempt);
  }

  /**
   * Records an endpoint's confirmation.
   *
   * @param cancel the cancellation
   * @param attempt the attempt number in the confirmed call
   * @return true if the cancellation is complete, false if it is not tracked or a later attempt was
   *     added in the meantime
   */
  public boolean recordConfirmation(Cancel cancel, int attempt) {
    Entry entry = entriesByCancel.get(cancel);
    if (entry == null) {
      return false;
    }
    if (attempt < entry.attempt) {
      entry.inFlight = false;
      return false;
    }
    entriesByCancel.remove(cancel);
    return true;
  }

  /**
   * Records that a cancellation was not confirmed and schedules its next retry.
   *
   * @param nowMillis the current monotonic time
   * @param cancel the cancellation
   * @param noConnection whether no connection could be established
   * @param jitter a random number that spreads the retries
   */
  public void recordFailure(long nowMillis, Cancel cancel, boolean noConnection, long jitter) {
    Entry entry = entriesByCancel.get(cancel);
    if (entry == null) {
      return;
    }
    if (noConnection) {
      entry.unconfirmedSinceMillis = nowMillis;
      entry.reported = false;
    }
    entry.inFlight = false;
    entry.dueAtMillis =
        nowMillis + entry.backoffMillis + Math.floorMod(jitter, entry.backoffMillis);
    entry.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * entry.backoffMillis);
  }

  /**
   * Removes all cancellations for an endpoint that is no longer configured.
   *
   * @param endpoint the endpoint
   */
  public void removeEndpoint(EndpointId endpoint) {
    entriesByCancel.keySet().removeIf(cancel -> cancel.endpoint().equals(endpoint));
  }

  /**
   * Returns the number of unconfirmed cancellations.
   *
   * @return the count
   */
  public int size() {
    return entriesByCancel.size();
  }

  private void checkOverdue(long now, Cancel cancel, Entry entry) {
    boolean overdue = now - entry.unconfirmedSinceMillis > CONFIRMATION_TIMEOUT_MILLIS;
    if (overdue && !entry.reported) {
      entry.reported = true;
      monitor.check(false, Invariant.MEMORY_RELEASED, cancel);
    }
  }

  /**
   * Identifies a cancellation.
   *
   * @param endpoint the endpoint
   * @param request the request
   */
  public record Cancel(EndpointId endpoint, RequestId request) {}

  private static final class Entry {
    private long unconfirmedSinceMillis;
    private long dueAtMillis;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;
    private int attempt;
    private boolean inFlight;
    private boolean reported;

    private Entry(long nowMillis) {
      this.unconfirmedSinceMillis = nowMillis;
      this.dueAtMillis = nowMillis;
    }
  }
}
