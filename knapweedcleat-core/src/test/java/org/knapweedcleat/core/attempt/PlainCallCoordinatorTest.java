package org.knapweedcleat.core.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.knapweedcleat.core.config.CallSafety;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.RefusalReason;

class PlainCallCoordinatorTest {

  private static final RequestId REQUEST = RequestId.of("r");
  private static final EndpointId DESK = EndpointId.of("desk");

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());

  @Property(seed = "13", tries = 3_000)
  void hasOneOutcomeAndRunsOnceUnlessIdempotent(@ForAll long seed, @ForAll CallSafety safety) {
    Random random = new Random(seed);
    PlainCallCoordinator attempt = attempt(safety);
    List<PlainCallEvent> flying = new ArrayList<>();
    List<PlainCallAction> actions = new ArrayList<>(attempt.start(0));
    int underWay = 0;
    int effects = 0;
    int outcomes = 0;
    for (int step = 0; step < 200 && (!actions.isEmpty() || !flying.isEmpty()); step++) {
      for (PlainCallAction action : actions) {
        if (action instanceof PlainCallAction.Place place) {
          flying.add(decide(random, place.request().attempt()));
        } else if (action instanceof PlainCallAction.Call call) {
          underWay++;
          assertThat(underWay, is(1));
          flying.add(answer(random, call.attempt()));
        } else if (action instanceof PlainCallAction.Complete || action instanceof PlainCallAction.Fail) {
          outcomes++;
        }
      }
      if (flying.isEmpty()) {
        break;
      }
      PlainCallEvent event = next(random, flying);
      if (event instanceof PlainCallEvent.Failed failed) {
        underWay--;
        effects += failed.failure().mayHaveRun() ? 1 : 0;
      } else if (event instanceof PlainCallEvent.Answered) {
        underWay--;
        effects++;
      }
      actions = attempt.handle(step, event);
    }
    assertThat(outcomes, is(1));
    assertThat(effects, is(lessThanOrEqualTo(safety.allowsResend() ? 4 : 1)));
    assertThat(monitor.firstViolations(), is(empty()));
  }

  /** Takes an event out of the air, in any order, or gives the request up. */
  private static PlainCallEvent next(Random random, List<PlainCallEvent> flying) {
    if (random.nextInt(10) == 0) {
      AbortCause[] causes = AbortCause.values();
      return new PlainCallEvent.Aborted(causes[random.nextInt(causes.length)]);
    }
    return flying.remove(random.nextInt(flying.size()));
  }

  private static PlainCallEvent decide(Random random, int attempt) {
    return new PlainCallEvent.PlacementDecided(
        random.nextInt(8) == 0
            ? new PlacementDecision.Refused(REQUEST, attempt, RefusalReason.QUEUE_FULL, 5)
            : new PlacementDecision.Plain(REQUEST, attempt, DESK));
  }

  private static PlainCallEvent answer(Random random, int attempt) {
    CallFailure[] failures = {CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.UNKNOWN};
    int which = random.nextInt(failures.length + 1);
    return which == failures.length
        ? new PlainCallEvent.Answered(attempt)
        : new PlainCallEvent.Failed(attempt, failures[which]);
  }

  private PlainCallCoordinator attempt(CallSafety safety) {
    PlainCallSpec plan =
        new PlainCallSpec(
            REQUEST,
            IncarnationId.of(InstanceId.of("instance"), 1),
            ServiceId.of("desk"),
            AccountId.of("account"),
            safety,
            4_000);
    return PlainCallCoordinator.of(plan, PlacementRetryBudget.of(20, 50), monitor, 0);
  }
}
