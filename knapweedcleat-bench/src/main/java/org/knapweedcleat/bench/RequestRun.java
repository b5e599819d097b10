package org.knapweedcleat.bench;

import java.util.List;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;

/** A request at the instance that serves its caller; stands in for the router. */
final class RequestRun {

  private static final int MAX_ATTEMPTS = 40;
  private static final long RESERVATION_RETRY_MILLIS = 50;
  private static final double CLIENT_DELAY_MILLIS = 6;
  private static final int PROMPT_BYTES_PER_TOKEN = 4;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Simulation simulation;
  private final Arrival arrival;
  private final RequestId request;
  private final IncarnationId owner;
  private final FailureDomainId home;
  private List<PlacementCandidate> legs = List.of();
  private int legIndex;
  private int attempt;
  private boolean waiting;
  private PlacementRequest asked;
  private SplitAttempt running;
  private int receivedTokens;
  private long firstTokenMicros;
  private long lastTokenMicros;
  private boolean over;

  private RequestRun(Simulation simulation, Arrival arrival) {
    this.simulation = simulation;
    this.arrival = arrival;
    this.owner = simulation.fleet().incarnation(arrival.instance());
    this.request = RequestId.of(owner, arrival.number());
    this.home = simulation.fleet().instanceDomains().get(arrival.instance());
  }

  static RequestRun of(Simulation simulation, Arrival arrival) {
    return new RequestRun(simulation, arrival);
  }

  RequestId request() {
    return request;
  }

  Arrival arrival() {
    return arrival;
  }

  int instance() {
    return arrival.instance();
  }

  int remainingOutputTokens() {
    return arrival.outputTokens() - receivedTokens;
  }

  int promptTokens() {
    return arrival.promptTokens() + receivedTokens;
  }

  void start() {
    if (!simulation.takeTokens(arrival)) {
      end(Verdict.REFUSED_OVER_RATE);
      return;
    }
    simulation.instances().opened(this);
    long elapsedMicros = simulation.events().nowMicros() - arrival.atMicros();
    long deadlineMicros = arrival.service().deadlineMillis() * 1_000L;
    simulation
        .events()
        .after(Math.max(0, deadlineMicros - elapsedMicros), () -> later(this::deadlinePassed));
    askFirst();
  }

  /** Takes a decision; one for an attempt that is over is handed back. */
  void decided(PlacementDecision decision) {
    boolean expected = !over && waiting && decision.attempt() == attempt;
    if (!expected) {
      boolean isRunning = running != null && decision.attempt() == attempt && !over;
      if (decision instanceof PlacementDecision.Split && !isRunning) {
        report(decision.attempt(), PlacementStage.CANCELLED, 0);
      }
      return;
    }
    waiting = false;
    if (decision instanceof PlacementDecision.Split split) {
      running = SplitAttempt.start(simulation, this, split);
    } else {
      refused();
    }
  }

  /** Asks again if the scheduler that was asked is gone. */
  void schedulerReplaced(FailureDomainId domain) {
    if (waiting && domain().equals(domain)) {
      send(asked);
    }
  }

  void report(int ofAttempt, PlacementStage stage, int tokens) {
    PlacementProgress progress = new PlacementProgress(request, ofAttempt, stage, tokens);
    FailureDomainId domain = domain();
    simulation
        .instances()
        .deliverToScheduler(
            instance(),
            domain,
            () ->
                simulation.execute(
                    simulation
                        .policy()
                        .progress(simulation.events().nowMillis(), domain, owner, progress)));
  }

  void token() {
    lastTokenMicros = simulation.events().nowMicros();
    if (receivedTokens == 0) {
      firstTokenMicros = lastTokenMicros;
    }
    receivedTokens++;
  }

  void finished() {
    simulation.budget(arrival.service().id()).recordSuccess();
    end(verdict());
  }

  /** Tries again where that is allowed. */
  void attemptFailed(PlacementStage stage) {
    running = null;
    if (over) {
      return;
    }
    if (stage == PlacementStage.RESERVATION_REFUSED) {
      simulation.events().afterMillis(RESERVATION_RETRY_MILLIS, () -> later(this::askFirst));
      return;
    }
    if (simulation.budget(arrival.service().id()).trySpend()) {
      simulation.outcomes().retried();
      askFirst();
    } else {
      end(Verdict.FAILED);
    }
  }

  private void askFirst() {
    if (over) {
      return;
    }
    ServiceSpec service = arrival.service();
    long targetMillis = service.firstTokenTargetMillis() - service.deadlineMillis();
    legs =
        PlacementCandidate.plan(
            simulation.fleet().document(),
            service,
            home,
            targetMillis + remainingMillis(),
            remainingMillis());
    legIndex = 0;
    ask();
  }

  private void ask() {
    if (attempt >= MAX_ATTEMPTS && receivedTokens > 0) {
      end(Verdict.FAILED);
      return;
    }
    attempt++;
    waiting = true;
    asked =
        new PlacementRequest(
            request,
            attempt,
            owner,
            arrival.service().id(),
            arrival.account(),
            true,
            promptTokens(),
            arrival.maxOutputTokens() - receivedTokens,
            arrival.hashes(),
            Math.min(remainingMillis(), legs.get(legIndex).allowedMillis()));
    send(asked);
  }

  private void send(PlacementRequest question) {
    FailureDomainId domain = domain();
    Runnable submit =
        () ->
            simulation.execute(
                simulation.policy().submit(simulation.events().nowMillis(), domain, question));
    if (isRemote(domain)) {
      double bytes = (double) question.promptTokens() * PROMPT_BYTES_PER_TOKEN;
      simulation
          .regionLink()
          .transfer(
              bytes,
              () -> simulation.events().afterMillis(2 * simulation.regionDelayMillis(), submit));
    } else {
      simulation.instances().deliverToScheduler(instance(), domain, submit);
    }
  }

  private void refused() {
    if (legIndex + 1 < legs.size()) {
      legIndex++;
      ask();
      return;
    }
    end(receivedTokens > 0 ? Verdict.FAILED : Verdict.REFUSED_CAPACITY);
  }

  private void deadlinePassed() {
    if (over || receivedTokens > 0) {
      return;
    }
    if (running != null) {
      running.cancel();
    } else if (waiting) {
      report(attempt, PlacementStage.CANCELLED, 0);
    }
    end(Verdict.GAVE_UP);
  }

  private void end(Verdict verdict) {
    if (over) {
      return;
    }
    over = true;
    simulation.instances().closed(this);
    double firstToken = receivedTokens == 0 ? 0 : firstTokenMillis();
    simulation.outcomes().add(new Outcomes.Outcome(arrival, verdict, firstToken, gapMillis()));
  }

  private Verdict verdict() {
    ServiceSpec service = arrival.service();
    if (firstTokenMillis() > service.firstTokenTargetMillis()) {
      return Verdict.LATE_FIRST_TOKEN;
    }
    return gapMillis() > service.tokenGapTargetMillis() ? Verdict.SLOW_TOKENS : Verdict.GOOD;
  }

  private double firstTokenMillis() {
    return (firstTokenMicros - arrival.atMicros()) / MICROS_PER_MILLI + CLIENT_DELAY_MILLIS;
  }

  private double gapMillis() {
    if (receivedTokens < 2) {
      return 0;
    }
    return (lastTokenMicros - firstTokenMicros) / MICROS_PER_MILLI / (receivedTokens - 1);
  }

  private long remainingMillis() {
    long deadline = arrival.service().deadlineMillis();
    if (receivedTokens > 0) {
      return deadline;
    }
    return deadline - (simulation.events().nowMicros() - arrival.atMicros()) / 1_000;
  }

  private void later(Runnable task) {
    simulation.instances().deliver(instance(), task);
  }

  private FailureDomainId domain() {
    return legs.get(legIndex).domain();
  }

  private boolean isRemote(FailureDomainId domain) {
    BenchFleet fleet = simulation.fleet();
    return !region(fleet, home).equals(region(fleet, domain));
  }

  private static RegionId region(BenchFleet fleet, FailureDomainId domain) {
    return fleet.document().domains().get(domain).region();
  }
}
