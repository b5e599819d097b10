package org.knapweedcleat.bench;

import java.util.List;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.PlacementCandidate;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;

/** Simulates the router's handling of a request at the instance that received it. */
final class RequestCoordinator {

  private static final int MAX_ATTEMPTS = 40;
  private static final long RESERVATION_RETRY_MILLIS = 50;
  private static final double CLIENT_DELAY_MILLIS = 6;
  private static final int PROMPT_BYTES_PER_TOKEN = 4;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Simulation simulation;
  private final Arrival arrival;
  private final RequestId requestId;
  private final IncarnationId owner;
  private final FailureDomainId homeDomain;
  private List<PlacementCandidate> candidates = List.of();
  private int candidateIndex;
  private int attempt;
  private boolean awaitingDecision;
  private PlacementRequest pendingRequest;
  private SplitAttempt activeAttempt;
  private int receivedTokens;
  private long firstTokenMicros;
  private long lastTokenMicros;
  private boolean ended;

  private RequestCoordinator(Simulation simulation, Arrival arrival) {
    this.simulation = simulation;
    this.arrival = arrival;
    this.owner = simulation.fleet().incarnation(arrival.instanceIndex());
    this.requestId = RequestId.of(owner, arrival.sequenceNumber());
    this.homeDomain = simulation.fleet().instanceDomains().get(arrival.instanceIndex());
  }

  static RequestCoordinator of(Simulation simulation, Arrival arrival) {
    return new RequestCoordinator(simulation, arrival);
  }

  RequestId requestId() {
    return requestId;
  }

  Arrival arrival() {
    return arrival;
  }

  int instanceIndex() {
    return arrival.instanceIndex();
  }

  int remainingOutputTokens() {
    return arrival.outputTokens() - receivedTokens;
  }

  int promptTokens() {
    return arrival.promptTokens() + receivedTokens;
  }

  void start() {
    if (!simulation.chargeTokens(arrival)) {
      end(OutcomeStatus.REFUSED_OVER_RATE);
      return;
    }
    simulation.instances().addRequest(this);
    long elapsedMicros = simulation.events().nowMicros() - arrival.atMicros();
    long deadlineMicros = arrival.service().deadlineMillis() * 1_000L;
    simulation
        .events()
        .scheduleAfter(
            Math.max(0, deadlineMicros - elapsedMicros), () -> runAtInstance(this::onDeadline));
    startPlacement();
  }

  /** Applies a placement decision; one for an attempt that has ended is cancelled. */
  void handleDecision(PlacementDecision decision) {
    boolean expected = !ended && awaitingDecision && decision.attempt() == attempt;
    if (!expected) {
      boolean isRunning = activeAttempt != null && decision.attempt() == attempt && !ended;
      if (decision instanceof PlacementDecision.Split && !isRunning) {
        reportProgress(decision.attempt(), PlacementStage.CANCELLED, 0);
      }
      return;
    }
    awaitingDecision = false;
    if (decision instanceof PlacementDecision.Split split) {
      activeAttempt = SplitAttempt.start(simulation, this, split);
    } else {
      onRefused();
    }
  }

  /** Sends the pending request again if it was sent to the replaced scheduler. */
  void onSchedulerReplaced(FailureDomainId domain) {
    if (awaitingDecision && candidateDomain().equals(domain)) {
      sendRequest(pendingRequest);
    }
  }

  void reportProgress(int reportedAttempt, PlacementStage stage, int tokens) {
    PlacementProgress progress = new PlacementProgress(requestId, reportedAttempt, stage, tokens);
    FailureDomainId domain = candidateDomain();
    simulation
        .instances()
        .deliverToScheduler(
            instanceIndex(),
            domain,
            () ->
                simulation.execute(
                    simulation
                        .policy()
                        .progress(simulation.events().nowMillis(), domain, owner, progress)));
  }

  void onToken() {
    lastTokenMicros = simulation.events().nowMicros();
    if (receivedTokens == 0) {
      firstTokenMicros = lastTokenMicros;
    }
    receivedTokens++;
  }

  void onFinished() {
    simulation.retryBudget(arrival.service().id()).recordSuccess();
    end(latencyStatus());
  }

  /** Retries after a refused reservation, or after a failure within the retry budget. */
  void onAttemptFailed(PlacementStage stage) {
    activeAttempt = null;
    if (ended) {
      return;
    }
    if (stage == PlacementStage.RESERVATION_REFUSED) {
      simulation
          .events()
          .scheduleAfterMillis(RESERVATION_RETRY_MILLIS, () -> runAtInstance(this::startPlacement));
      return;
    }
    if (simulation.retryBudget(arrival.service().id()).trySpend()) {
      simulation.outcomes().recordRetry();
      startPlacement();
    } else {
      end(OutcomeStatus.FAILED);
    }
  }

  private void startPlacement() {
    if (ended) {
      return;
    }
    ServiceSpec service = arrival.service();
    long targetOffsetMillis = service.firstTokenTargetMillis() - service.deadlineMillis();
    candidates =
        PlacementCandidate.plan(
            simulation.fleet().document(),
            service,
            homeDomain,
            targetOffsetMillis + remainingMillis(),
            remainingMillis());
    candidateIndex = 0;
    requestPlacement();
  }

  private void requestPlacement() {
    if (attempt >= MAX_ATTEMPTS && receivedTokens > 0) {
      end(OutcomeStatus.FAILED);
      return;
    }
    attempt++;
    awaitingDecision = true;
    pendingRequest =
        new PlacementRequest(
            requestId,
            attempt,
            owner,
            arrival.service().id(),
            arrival.account(),
            true,
            promptTokens(),
            arrival.maxOutputTokens() - receivedTokens,
            arrival.prefixBlockHashes(),
            Math.min(remainingMillis(), candidates.get(candidateIndex).allowedMillis()));
    sendRequest(pendingRequest);
  }

  private void sendRequest(PlacementRequest placementRequest) {
    FailureDomainId domain = candidateDomain();
    Runnable submit =
        () ->
            simulation.execute(
                simulation
                    .policy()
                    .submit(simulation.events().nowMillis(), domain, placementRequest));
    if (isRemote(domain)) {
      double bytes = (double) placementRequest.promptTokens() * PROMPT_BYTES_PER_TOKEN;
      simulation
          .regionLink()
          .transfer(
              bytes,
              () ->
                  simulation
                      .events()
                      .scheduleAfterMillis(2 * simulation.regionDelayMillis(), submit));
    } else {
      simulation.instances().deliverToScheduler(instanceIndex(), domain, submit);
    }
  }

  private void onRefused() {
    if (candidateIndex + 1 < candidates.size()) {
      candidateIndex++;
      requestPlacement();
      return;
    }
    end(receivedTokens > 0 ? OutcomeStatus.FAILED : OutcomeStatus.REFUSED_CAPACITY);
  }

  private void onDeadline() {
    if (ended || receivedTokens > 0) {
      return;
    }
    if (activeAttempt != null) {
      activeAttempt.cancel();
    } else if (awaitingDecision) {
      reportProgress(attempt, PlacementStage.CANCELLED, 0);
    }
    end(OutcomeStatus.GAVE_UP);
  }

  private void end(OutcomeStatus status) {
    if (ended) {
      return;
    }
    ended = true;
    simulation.instances().removeRequest(this);
    double firstTokenMillis = receivedTokens == 0 ? 0 : firstTokenMillis();
    simulation
        .outcomes()
        .add(new OutcomeRecorder.Outcome(arrival, status, firstTokenMillis, tokenGapMillis()));
  }

  private OutcomeStatus latencyStatus() {
    ServiceSpec service = arrival.service();
    if (firstTokenMillis() > service.firstTokenTargetMillis()) {
      return OutcomeStatus.LATE_FIRST_TOKEN;
    }
    return tokenGapMillis() > service.tokenGapTargetMillis()
        ? OutcomeStatus.SLOW_TOKENS
        : OutcomeStatus.GOOD;
  }

  private double firstTokenMillis() {
    return (firstTokenMicros - arrival.atMicros()) / MICROS_PER_MILLI + CLIENT_DELAY_MILLIS;
  }

  private double tokenGapMillis() {
    if (receivedTokens < 2) {
      return 0;
    }
    return (lastTokenMicros - firstTokenMicros) / MICROS_PER_MILLI / (receivedTokens - 1);
  }

  private long remainingMillis() {
    long deadlineMillis = arrival.service().deadlineMillis();
    if (receivedTokens > 0) {
      return deadlineMillis;
    }
    return deadlineMillis - (simulation.events().nowMicros() - arrival.atMicros()) / 1_000;
  }

  private void runAtInstance(Runnable task) {
    simulation.instances().deliver(instanceIndex(), task);
  }

  private FailureDomainId candidateDomain() {
    return candidates.get(candidateIndex).domain();
  }

  private boolean isRemote(FailureDomainId domain) {
    BenchmarkFleet fleet = simulation.fleet();
    return !region(fleet, homeDomain).equals(region(fleet, domain));
  }

  private static RegionId region(BenchmarkFleet fleet, FailureDomainId domain) {
    return fleet.document().domains().get(domain).region();
  }
}
