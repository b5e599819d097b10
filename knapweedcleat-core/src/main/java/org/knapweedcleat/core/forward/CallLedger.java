package org.knapweedcleat.core.forward;

import java.util.HashSet;
import java.util.Set;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Remembers to which endpoints a call was sent and decides whether it may be sent again.
 *
 * <p>A send that an endpoint refused has not run. Any other send may have run, whatever became of
 * its connection.
 */
public final class CallLedger {

  /** Sends of one call, refused ones included: a fourth rarely finds what three did not. */
  private static final int MAX_SENDS = 4;

  private final ForwardRoute route;
  private final RepeatBudget budget;
  private final Set<EndpointId> tried = new HashSet<>();
  private int sends;
  private int runs;

  private CallLedger(ForwardRoute route, RepeatBudget budget) {
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
  public static CallLedger of(ForwardRoute route, RepeatBudget budget) {
    return new CallLedger(route, budget);
  }

  /**
   * Notes that bytes of the call may have reached an endpoint.
   *
   * @param endpoint the endpoint
   */
  public void sent(EndpointId endpoint) {
    tried.add(endpoint);
    sends++;
    runs++;
  }

  /**
   * Decides after an endpoint said that it did not run the call.
   *
   * @param nowMillis the time
   * @return what becomes of the call
   */
  public NextStep refused(long nowMillis) {
    runs--;
    return again(nowMillis);
  }

  /**
   * Decides after no byte of the last send could leave.
   *
   * @return what becomes of the call
   */
  public NextStep notSent() {
    runs--;
    return sends < MAX_SENDS ? NextStep.AGAIN : end();
  }

  /**
   * Tells whether the last send could be given up for another.
   *
   * @param nowMillis the time
   * @return false if the call has to wait for the endpoint that has it
   */
  public boolean canRepeat(long nowMillis) {
    return route.isRepeatable()
        && runs < route.maxRuns()
        && sends < MAX_SENDS
        && budget.hasOne(nowMillis);
  }

  /**
   * Decides after a send that may have run ended without a whole answer.
   *
   * @param nowMillis the time
   * @return what becomes of the call
   */
  public NextStep broken(long nowMillis) {
    if (!route.isRepeatable() || runs >= route.maxRuns()) {
      return NextStep.FAIL;
    }
    return again(nowMillis);
  }

  /**
   * Decides when there is nothing left to send the call to.
   *
   * @return {@link NextStep#REFUSE} or {@link NextStep#FAIL}
   */
  public NextStep end() {
    return mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
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
  public Set<EndpointId> tried() {
    return Set.copyOf(tried);
  }

  /**
   * Returns how often the call was sent.
   *
   * @return the number of sends, refused ones included
   */
  public int sends() {
    return sends;
  }

  private NextStep again(long nowMillis) {
    boolean allowed = sends < MAX_SENDS && budget.trySpend(nowMillis);
    return allowed ? NextStep.AGAIN : end();
  }
}
