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
 * Keeps the cancels that endpoints have not confirmed yet and tells when to send them again.
 *
 * <p>An endpoint confirms by answering, whether it held anything or not, so one that was restarted
 * confirms too. While no connection to an endpoint comes about, its process is gone or cut off and
 * nothing can be said of its memory, so the time for the invariant starts again; the cancel is
 * still repeated.
 */
public final class CancellationTracker {

  /** The time within which an endpoint that can be reached has to have confirmed. */
  public static final long CONFIRMATION_TIMEOUT_MILLIS = 30_000;

  private static final long FIRST_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  private final InvariantMonitor monitor;
  private final Map<Cancel, Entry> entriesByCancel = new HashMap<>();

  private CancellationTracker(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  /**
   * Returns an empty ledger.
   *
   * @param monitor where invariants are checked
   * @return the ledger
   */
  public static CancellationTracker of(InvariantMonitor monitor) {
    return new CancellationTracker(monitor);
  }

  /**
   * Adds a cancel, to be sent at once; one that is there already takes the higher attempt.
   *
   * @param nowMillis the time, monotonic
   * @param endpoint the endpoint
   * @param request the request that it may hold memory for
   * @param attempt the placement; earlier ones are meant too
   */
  public void add(long nowMillis, EndpointId endpoint, RequestId request, int attempt) {
    Cancel cancel = new Cancel(endpoint, request);
    Entry entry = entriesByCancel.computeIfAbsent(cancel, key -> new Entry(nowMillis));
    entry.attempt = Math.max(entry.attempt, attempt);
    entry.dueAtMillis = Math.min(entry.dueAtMillis, nowMillis);
  }

  /**
   * Lists the cancels to send now; each is then under way until it is confirmed or failed.
   *
   * @param nowMillis the time, monotonic
   * @return the cancels
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
   * Returns the placement that a cancel is for.
   *
   * @param cancel the cancel
   * @return the count, from 1; empty when the cancel is no longer there
   */
  public Optional<Integer> attempt(Cancel cancel) {
    return Optional.ofNullable(entriesByCancel.get(cancel)).map(entry -> entry.attempt);
  }

  /**
   * Takes an endpoint's confirmation.
   *
   * @param cancel the cancel
   * @param attempt the placement that the confirmed call named
   * @return true if the cancel is done with, false if a later placement was added meanwhile
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
   * Notes that a cancel was not confirmed and plans the next try.
   *
   * @param nowMillis the time, monotonic
   * @param cancel the cancel
   * @param noConnection whether no connection came about
   * @param jitter any number, spreads the tries
   */
  public void recordFailure(long nowMillis, Cancel cancel, boolean noConnection, long jitter) {
    Entry entry = entriesByCancel.get(cancel);
    if (entry == null) {
      return;
    }
    if (noConnection) {
      entry.reachableSinceMillis = nowMillis;
      entry.reported = false;
    }
    entry.inFlight = false;
    entry.dueAtMillis = nowMillis + entry.backoffMillis + Math.floorMod(jitter, entry.backoffMillis);
    entry.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * entry.backoffMillis);
  }

  /**
   * Drops the cancels for an endpoint that is no longer declared.
   *
   * @param endpoint the endpoint
   */
  public void removeEndpoint(EndpointId endpoint) {
    entriesByCancel.keySet().removeIf(cancel -> cancel.endpoint().equals(endpoint));
  }

  /**
   * Counts the cancels that are not confirmed.
   *
   * @return the count
   */
  public int size() {
    return entriesByCancel.size();
  }

  private void checkOverdue(long now, Cancel cancel, Entry entry) {
    boolean overdue = now - entry.reachableSinceMillis > CONFIRMATION_TIMEOUT_MILLIS;
    if (overdue && !entry.reported) {
      entry.reported = true;
      monitor.check(false, Invariant.MEMORY_RELEASED, cancel);
    }
  }

  /**
   * Names one cancel.
   *
   * @param endpoint the endpoint
   * @param request the request
   */
  public record Cancel(EndpointId endpoint, RequestId request) {}

  private static final class Entry {
    private long reachableSinceMillis;
    private long dueAtMillis;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;
    private int attempt;
    private boolean inFlight;
    private boolean reported;

    private Entry(long nowMillis) {
      this.reachableSinceMillis = nowMillis;
      this.dueAtMillis = nowMillis;
    }
  }
}
