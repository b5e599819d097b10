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
  private static final EndpointId ENDPOINT = EndpointId.of("desk");

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());

  @Property(seed = "13", tries = 3_000)
  void completesOnceAndRunsNonIdempotentCallsAtMostOnce(
      @ForAll long seed, @ForAll CallSafety safety) {
    Random random = new Random(seed);
    PlainCallCoordinator coordinator = coordinator(safety);
    List<PlainCallEvent> pendingEvents = new ArrayList<>();
    List<PlainCallAction> actions = new ArrayList<>(coordinator.start(0));
    int inFlight = 0;
    int effects = 0;
    int outcomes = 0;
    for (int step = 0; step < 200 && (!actions.isEmpty() || !pendingEvents.isEmpty()); step++) {
      for (PlainCallAction action : actions) {
        if (action instanceof PlainCallAction.Place place) {
          pendingEvents.add(decide(random, place.request().attempt()));
        } else if (action instanceof PlainCallAction.Call call) {
          inFlight++;
          assertThat(inFlight, is(1));
          pendingEvents.add(answer(random, call.attempt()));
        } else if (action instanceof PlainCallAction.Complete
            || action instanceof PlainCallAction.Fail) {
          outcomes++;
        }
      }
      if (pendingEvents.isEmpty()) {
        break;
      }
      PlainCallEvent event = nextEvent(random, pendingEvents);
      if (event instanceof PlainCallEvent.Failed failed) {
        inFlight--;
        effects += failed.failure().mayHaveRun() ? 1 : 0;
      } else if (event instanceof PlainCallEvent.Answered) {
        inFlight--;
        effects++;
      }
      actions = coordinator.handle(step, event);
    }
    assertThat(outcomes, is(1));
    assertThat(effects, is(lessThanOrEqualTo(safety.allowsResend() ? 4 : 1)));
    assertThat(monitor.firstViolations(), is(empty()));
  }

  /** Removes and returns a random pending event, or aborts the request. */
  private static PlainCallEvent nextEvent(Random random, List<PlainCallEvent> pendingEvents) {
    if (random.nextInt(10) == 0) {
      AbortCause[] causes = AbortCause.values();
      return new PlainCallEvent.Aborted(causes[random.nextInt(causes.length)]);
    }
    return pendingEvents.remove(random.nextInt(pendingEvents.size()));
  }

  private static PlainCallEvent decide(Random random, int attempt) {
    return new PlainCallEvent.PlacementDecided(
        random.nextInt(8) == 0
            ? new PlacementDecision.Refused(REQUEST, attempt, RefusalReason.QUEUE_FULL, 5)
            : new PlacementDecision.Plain(REQUEST, attempt, ENDPOINT));
  }

  private static PlainCallEvent answer(Random random, int attempt) {
    CallFailure[] failures = {CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.UNKNOWN};
    int choice = random.nextInt(failures.length + 1);
    return choice == failures.length
        ? new PlainCallEvent.Answered(attempt)
        : new PlainCallEvent.Failed(attempt, failures[choice]);
  }

  private PlainCallCoordinator coordinator(CallSafety safety) {
    PlainCallSpec call =
        new PlainCallSpec(
            REQUEST,
            IncarnationId.of(InstanceId.of("instance"), 1),
            ServiceId.of("desk"),
            AccountId.of("account"),
            safety,
            4_000);
    return PlainCallCoordinator.of(call, PlacementRetryBudget.of(20, 50), monitor, 0);
  }
}
