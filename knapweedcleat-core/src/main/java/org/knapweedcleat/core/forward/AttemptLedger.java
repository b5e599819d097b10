package org.knapweedcleat.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Records the attempts of a call and decides whether it may be retried.
 *
 * <p>An attempt that an endpoint refused has not run. Any other attempt that was sent may have run,
 * whatever happened to its connection.
 *
 * <p>Each attempt after the first is a retry and is reserved from the budget before it is sent. The
 * first prefill that an engine accepts is not counted; until then, a prefill counts like any
 * attempt.
 */
public final class AttemptLedger {

  /** Maximum number of attempts, including refused ones; more of them rarely succeed. */
  private static final int MAX_SENDS = 4;

  private final ForwardRoute route;
  private final WindowedRetryBudget budget;
  private final Set<EndpointId> triedEndpoints = new HashSet<>();
  private final Deque<Long> reservedAtMillis = new ArrayDeque<>();
  private int sends;
  private int runs;
  private int arrivals;
  private boolean prefillAccepted;

  private AttemptLedger(ForwardRoute route, WindowedRetryBudget budget) {
    this.route = route;
    this.budget = budget;
  }

  /**
   * Returns the ledger of a call that has not been sent yet.
   *
   * @param route the route of the call
   * @param budget the retry budget of its service
   * @return the ledger
   */
  public static AttemptLedger of(ForwardRoute route, WindowedRetryBudget budget) {
    return new AttemptLedger(route, budget);
  }

  /**
   * Records that the call is sent to an endpoint, which it may reach.
   *
   * @param endpoint the endpoint
   */
  public void recordSend(EndpointId endpoint) {
    if (reservedAtMillis.size() < retriesIncludingNextRun()) {
      throw new IllegalStateException("no retry was reserved for this run");
    }
    triedEndpoints.add(endpoint);
    sends++;
    runs++;
    arrivals++;
  }

  /**
   * Reserves the retries for a prefill and the run that follows it.
   *
   * @param nowMillis the current time
   * @return false if the budget is exhausted
   */
  public boolean tryReservePrefill(long nowMillis) {
    return reserveUpTo(arrivals, nowMillis);
  }

  /**
   * Reserves the retries for a run that are not yet reserved.
   *
   * @param nowMillis the current time
   * @return false if the budget is exhausted
   */
  public boolean tryReserveRun(long nowMillis) {
    return reserveUpTo(retriesIncludingNextRun(), nowMillis);
  }

  /** Records that the prompt is sent to an engine for prefill, which it may reach. */
  public void recordPrefillSent() {
    arrivals++;
  }

  /** Records that no byte of the last prefill request was sent. */
  public void recordPrefillNotSent() {
    arrivals--;
  }

  /** Records that an engine accepted and finished a prefill. */
  public void recordPrefillAccepted() {
    prefillAccepted = true;
  }

  /** Refunds reserved retries that were not used. To be called when the call has ended. */
  public void refundUnused() {
    int retries = Math.max(0, arrivals - 1 - (prefillAccepted ? 1 : 0));
    while (reservedAtMillis.size() > retries) {
      budget.refund(reservedAtMillis.pollLast());
    }
  }

  /**
   * Decides what to do after an endpoint stated that it did not run the call.
   *
   * @param nowMillis the current time
   * @return the decision
   */
  public RetryDecision onRefused(long nowMillis) {
    runs--;
    return retryIfAllowed(nowMillis);
  }

  /**
   * Decides what to do after an attempt of which no byte was sent.
   *
   * @return the decision
   */
  public RetryDecision onNotSent() {
    runs--;
    arrivals--;
    return sends < MAX_SENDS ? RetryDecision.AGAIN : giveUp();
  }

  /**
   * Returns whether the current attempt may be abandoned for another one.
   *
   * @param nowMillis the current time
   * @return false if the call has to wait for its current endpoint
   */
  public boolean canRetry(long nowMillis) {
    return route.isRepeatable()
        && runs < route.maxRuns()
        && sends < MAX_SENDS
        && (reservedAtMillis.size() >= retriesIncludingNextRun() || budget.canSpend(nowMillis));
  }

  /**
   * Decides what to do after an attempt that may have run ended without a complete response.
   *
   * @param nowMillis the current time
   * @return the decision
   */
  public RetryDecision onFailed(long nowMillis) {
    if (!route.isRepeatable() || runs >= route.maxRuns()) {
      return RetryDecision.FAIL;
    }
    return retryIfAllowed(nowMillis);
  }

  /**
   * Decides how to end a call that cannot be sent to any further endpoint.
   *
   * @return {@link RetryDecision#REFUSE} or {@link RetryDecision#FAIL}
   */
  public RetryDecision giveUp() {
    return mayHaveRun() ? RetryDecision.FAIL : RetryDecision.REFUSE;
  }

  /**
   * Returns whether an endpoint may have run the call.
   *
   * @return false only if no endpoint can have run it
   */
  public boolean mayHaveRun() {
    return runs > 0;
  }

  /**
   * Returns the endpoints that the call was sent to.
   *
   * @return their ids
   */
  public Set<EndpointId> triedEndpoints() {
    return Set.copyOf(triedEndpoints);
  }

  /**
   * Returns the number of attempts.
   *
   * @return the number of sends, including refused ones
   */
  public int sends() {
    return sends;
  }

  private RetryDecision retryIfAllowed(long nowMillis) {
    return sends < MAX_SENDS && tryReserveRun(nowMillis) ? RetryDecision.AGAIN : giveUp();
  }

  /** Returns the number of retries, including the next run. */
  private int retriesIncludingNextRun() {
    return arrivals - (prefillAccepted ? 1 : 0);
  }

  private boolean reserveUpTo(int retries, long nowMillis) {
    while (reservedAtMillis.size() < retries) {
      if (!budget.trySpend(nowMillis)) {
        return false;
      }
      reservedAtMillis.addLast(nowMillis);
    }
    return true;
  }
}
