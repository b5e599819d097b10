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

class PlainAttemptTest {

  private static final RequestId REQUEST = RequestId.of("r");
  private static final EndpointId DESK = EndpointId.of("desk");

  private final InvariantMonitor monitor = InvariantMonitor.of(new MetricRegistry());

  @Property(seed = "13", tries = 3_000)
  void hasOneOutcomeAndRunsOnceUnlessIdempotent(@ForAll long seed, @ForAll CallSafety safety) {
    Random random = new Random(seed);
    PlainAttempt attempt = attempt(safety);
    List<PlainEvent> flying = new ArrayList<>();
    List<PlainAction> actions = new ArrayList<>(attempt.start(0));
    int underWay = 0;
    int effects = 0;
    int outcomes = 0;
    for (int step = 0; step < 200 && (!actions.isEmpty() || !flying.isEmpty()); step++) {
      for (PlainAction action : actions) {
        if (action instanceof PlainAction.Place place) {
          flying.add(decide(random, place.request().attempt()));
        } else if (action instanceof PlainAction.Call call) {
          underWay++;
          assertThat(underWay, is(1));
          flying.add(answer(random, call.attempt()));
        } else if (action instanceof PlainAction.Answer || action instanceof PlainAction.Fail) {
          outcomes++;
        }
      }
      if (flying.isEmpty()) {
        break;
      }
      PlainEvent event = next(random, flying);
      if (event instanceof PlainEvent.Failed failed) {
        underWay--;
        effects += failed.failure().mayHaveRun() ? 1 : 0;
      } else if (event instanceof PlainEvent.Answered) {
        underWay--;
        effects++;
      }
      actions = attempt.on(step, event);
    }
    assertThat(outcomes, is(1));
    assertThat(effects, is(lessThanOrEqualTo(safety.allowsResend() ? 4 : 1)));
    assertThat(monitor.kept(), is(empty()));
  }

  /** Takes an event out of the air, in any order, or gives the request up. */
  private static PlainEvent next(Random random, List<PlainEvent> flying) {
    if (random.nextInt(10) == 0) {
      GiveUpCause[] causes = GiveUpCause.values();
      return new PlainEvent.GivenUp(causes[random.nextInt(causes.length)]);
    }
    return flying.remove(random.nextInt(flying.size()));
  }

  private static PlainEvent decide(Random random, int attempt) {
    return new PlainEvent.Decided(
        random.nextInt(8) == 0
            ? new PlacementDecision.Refused(REQUEST, attempt, RefusalReason.QUEUE_FULL, 5)
            : new PlacementDecision.Plain(REQUEST, attempt, DESK));
  }

  private static PlainEvent answer(Random random, int attempt) {
    CallFailure[] failures = {CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.UNKNOWN};
    int which = random.nextInt(failures.length + 1);
    return which == failures.length
        ? new PlainEvent.Answered(attempt)
        : new PlainEvent.Failed(attempt, failures[which]);
  }

  private PlainAttempt attempt(CallSafety safety) {
    PlainPlan plan =
        new PlainPlan(
            REQUEST,
            IncarnationId.of(InstanceId.of("instance"), 1),
            ServiceId.of("desk"),
            AccountId.of("account"),
            safety,
            4_000);
    return PlainAttempt.of(plan, AttemptBudget.of(20, 50), monitor, 0);
  }
}
