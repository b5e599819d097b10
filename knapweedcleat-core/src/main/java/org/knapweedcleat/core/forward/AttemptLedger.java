package org.knapweedcleat.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Remembers to which endpoints a call was sent and decides whether it may be sent again.
 *
 * <p>A send that an endpoint refused has not run. Any other send may have run, whatever became of
 * its connection.
 *
 * <p>Each send beyond the first is a repeat and is taken from the budget before it leaves. The
 * first read of a prompt that an engine accepts is none; until then a read counts like any send.
 */
public final class AttemptLedger {

  /** Sends of one call, refused ones included: a fourth rarely finds what three did not. */
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
   * Returns the ledger of a call that was not sent yet.
   *
   * @param route the call's route
   * @param budget the budget of its service
   * @return the ledger
   */
  public static AttemptLedger of(ForwardRoute route, WindowedRetryBudget budget) {
    return new AttemptLedger(route, budget);
  }

  /**
   * Notes that bytes of the call may have reached an endpoint.
   *
   * @param endpoint the endpoint
   */
  public void recordSend(EndpointId endpoint) {
    if (reservedAtMillis.size() < retriesIncludingNextRun()) {
      throw new IllegalStateException("a run that no repeat was taken for");
    }
    triedEndpoints.add(endpoint);
    sends++;
    runs++;
    arrivals++;
  }

  /**
   * Takes what a read of the prompt costs, with the run that follows it.
   *
   * @param nowMillis the time
   * @return false if the budget has not enough
   */
  public boolean tryReservePrefill(long nowMillis) {
    return reserveUpTo(arrivals, nowMillis);
  }

  /**
   * Takes what a run costs beyond what was taken.
   *
   * @param nowMillis the time
   * @return false if the budget has not enough
   */
  public boolean tryReserveRun(long nowMillis) {
    return reserveUpTo(retriesIncludingNextRun(), nowMillis);
  }

  /** Notes that an engine may have got the prompt to read. */
  public void recordPrefillSent() {
    arrivals++;
  }

  /** Notes that no byte of the last read could leave. */
  public void recordPrefillNotSent() {
    arrivals--;
  }

  /** Notes that an engine has read the prompt. */
  public void recordPrefillAccepted() {
    prefillAccepted = true;
  }

  /** Gives back what was taken for sends that did not come about; the call is over. */
  public void refundUnused() {
    int repeats = Math.max(0, arrivals - 1 - (prefillAccepted ? 1 : 0));
    while (reservedAtMillis.size() > repeats) {
      budget.refund(reservedAtMillis.pollLast());
    }
  }

  /**
   * Decides after an endpoint said that it did not run the call.
   *
   * @param nowMillis the time
   * @return what becomes of the call
   */
  public RetryDecision onRefused(long nowMillis) {
    runs--;
    return retryIfAllowed(nowMillis);
  }

  /**
   * Decides after no byte of the last send could leave.
   *
   * @return what becomes of the call
   */
  public RetryDecision onNotSent() {
    runs--;
    arrivals--;
    return sends < MAX_SENDS ? RetryDecision.AGAIN : giveUp();
  }

  /**
   * Tells whether the last send could be given up for another.
   *
   * @param nowMillis the time
   * @return false if the call has to wait for the endpoint that has it
   */
  public boolean canRetry(long nowMillis) {
    return route.isRepeatable()
        && runs < route.maxRuns()
        && sends < MAX_SENDS
        && (reservedAtMillis.size() >= retriesIncludingNextRun() || budget.canSpend(nowMillis));
  }

  /**
   * Decides after a send that may have run ended without a whole answer.
   *
   * @param nowMillis the time
   * @return what becomes of the call
   */
  public RetryDecision onFailed(long nowMillis) {
    if (!route.isRepeatable() || runs >= route.maxRuns()) {
      return RetryDecision.FAIL;
    }
    return retryIfAllowed(nowMillis);
  }

  /**
   * Decides when there is nothing left to send the call to.
   *
   * @return {@link RetryDecision#REFUSE} or {@link RetryDecision#FAIL}
   */
  public RetryDecision giveUp() {
    return mayHaveRun() ? RetryDecision.FAIL : RetryDecision.REFUSE;
  }

  /**
   * Tells whether an endpoint may have run the call.
   *
   * @return false only if no endpoint can have run it
   */
  public boolean mayHaveRun() {
    return runs > 0;
  }

  /**
   * Returns the endpoints that the call was offered to.
   *
   * @return their ids
   */
  public Set<EndpointId> triedEndpoints() {
    return Set.copyOf(triedEndpoints);
  }

  /**
   * Returns how often the call was sent.
   *
   * @return the number of sends, refused ones included
   */
  public int sends() {
    return sends;
  }

  private RetryDecision retryIfAllowed(long nowMillis) {
    return sends < MAX_SENDS && tryReserveRun(nowMillis) ? RetryDecision.AGAIN : giveUp();
  }

  /** Returns how many repeats the call has had once it was sent to run once more. */
  private int retriesIncludingNextRun() {
    return arrivals - (prefillAccepted ? 1 : 0);
  }

  private boolean reserveUpTo(int repeats, long nowMillis) {
    while (reservedAtMillis.size() < repeats) {
      if (!budget.trySpend(nowMillis)) {
        return false;
      }
      reservedAtMillis.addLast(nowMillis);
    }
    return true;
  }
}
