package org.knapweedcleat.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Lists the requests that an incarnation still serves, so that the pool's scheduler can release the
 * memory of all others.
 *
 * <p>Request numbers are sorted and delta-encoded, which takes a few bytes for each request, where
 * full ids would take tens of bytes.
 *
 * @param owner the incarnation
 * @param pool the pool
 * @param numberDeltas the first request's number, then the difference from each number to the next
 */
public record RunningClaims(IncarnationId owner, PoolId pool, List<Long> numberDeltas)
    implements PeerMessage {

  /** Makes a defensive copy of the list. */
  public RunningClaims {
    numberDeltas = List.copyOf(numberDeltas);
  }

  /**
   * Returns the claims of an incarnation.
   *
   * @param owner the incarnation
   * @param pool the pool
   * @param running the running requests; those of other owners are left out
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
   * Returns the claimed requests.
   *
   * @return the requests in ascending order of their numbers
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
