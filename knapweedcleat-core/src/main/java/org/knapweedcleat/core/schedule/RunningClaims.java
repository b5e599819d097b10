package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells the scheduler of a pool which requests an incarnation still serves, so that the memory of
 * all others can be released.
 *
 * <p>The requests are written as differences between their rising numbers, which takes a few bytes
 * each where whole ids would take tens.
 *
 * @param owner the incarnation
 * @param pool the pool
 * @param numberDeltas the first request's number and then the differences to the next, complete
 */
public record RunningClaims(IncarnationId owner, PoolId pool, List<Long> numberDeltas)
    implements PeerMessage {

  /** Copies the list. */
  public RunningClaims {
    numberDeltas = List.copyOf(numberDeltas);
  }

  /**
   * Returns the claims of an incarnation.
   *
   * @param owner the incarnation
   * @param pool the pool
   * @param running its requests; those that it does not own are left out
   * @return the claims
   */
  public static RunningClaims of(IncarnationId owner, PoolId pool, Collection<RequestId> running) {
    long[] numbers =
        running.stream()
            .filter(request -> request.owner().filter(owner::equals).isPresent())
            .flatMapToLong(request -> request.number().stream())
            .sorted()
            .distinct()
            .toArray();
    List<Long> steps = new ArrayList<>();
    long last = 0;
    for (long number : numbers) {
      steps.add(number - last);
      last = number;
    }
    return new RunningClaims(owner, pool, steps);
  }

  /**
   * Lists the requests that are claimed.
   *
   * @return the requests in the order of their numbers
   */
  public List<RequestId> running() {
    List<RequestId> running = new ArrayList<>();
    long number = 0;
    for (long step : numberDeltas) {
      number += step;
      running.add(RequestId.of(owner, number));
    }
    return running;
  }
}
