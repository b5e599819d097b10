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
public final class CallLedger {

  /** Sends of one call, refused ones included: a fourth rarely finds what three did not. */
  private static final int MAX_SENDS = 4;

  private final ForwardRoute route;
  private final RepeatBudget budget;
  private final Set<EndpointId> tried = new HashSet<>();
  private final Deque<Long> takenAtMillis = new ArrayDeque<>();
  private int sends;
  private int runs;
  private int arrivals;
  private boolean readAccepted;

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
    if (takenAtMillis.size() < repeatsWithRun()) {
      throw new IllegalStateException("a run that no repeat was taken for");
    }
    tried.add(endpoint);
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
  public boolean tryRead(long nowMillis) {
    return take(arrivals, nowMillis);
  }

  /**
   * Takes what a run costs beyond what was taken.
   *
   * @param nowMillis the time
   * @return false if the budget has not enough
   */
  public boolean tryRun(long nowMillis) {
    return take(repeatsWithRun(), nowMillis);
  }

  /** Notes that an engine may have got the prompt to read. */
  public void reading() {
    arrivals++;
  }

  /** Notes that no byte of the last read could leave. */
  public void readNotSent() {
    arrivals--;
  }

  /** Notes that an engine has read the prompt. */
  public void readAccepted() {
    readAccepted = true;
  }

  /** Gives back what was taken for sends that did not come about; the call is over. */
  public void settle() {
    int repeats = Math.max(0, arrivals - 1 - (readAccepted ? 1 : 0));
    while (takenAtMillis.size() > repeats) {
      budget.giveBack(takenAtMillis.pollLast());
    }
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
    arrivals--;
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
        && (takenAtMillis.size() >= repeatsWithRun() || budget.hasOne(nowMillis));
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
    return sends < MAX_SENDS && tryRun(nowMillis) ? NextStep.AGAIN : end();
  }

  /** Returns how many repeats the call has had once it was sent to run once more. */
  private int repeatsWithRun() {
    return arrivals - (readAccepted ? 1 : 0);
  }

  private boolean take(int repeats, long nowMillis) {
    while (takenAtMillis.size() < repeats) {
      if (!budget.trySpend(nowMillis)) {
        return false;
      }
      takenAtMillis.addLast(nowMillis);
    }
    return true;
  }
}
