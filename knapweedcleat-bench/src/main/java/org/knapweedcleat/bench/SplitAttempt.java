package org.knapweedcleat.bench;

import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.schedule.PlacementDecision.Split;
import org.knapweedcleat.core.schedule.PlacementStage;

/** One attempt to run a request: reservation, prefill, KV cache transfer and decode. */
final class SplitAttempt {

  private static final int TOKENS_PER_PIECE = 1_000;
  private static final long NETWORK_DELAY_MICROS = 1_000;

  private final Simulation simulation;
  private final RequestCoordinator coordinator;
  private final Split split;
  private SimulatedLink.Transfer transfer;
  private int computedTokens;
  private boolean imported;
  private boolean firstTokenReceived;
  private boolean ended;

  private SplitAttempt(Simulation simulation, RequestCoordinator coordinator, Split split) {
    this.simulation = simulation;
    this.coordinator = coordinator;
    this.split = split;
  }

  static SplitAttempt start(Simulation simulation, RequestCoordinator coordinator, Split split) {
    SplitAttempt attempt = new SplitAttempt(simulation, coordinator, split);
    attempt.runAfterNetworkDelay(attempt::reserve);
    return attempt;
  }

  void cancel() {
    if (!ended) {
      end(PlacementStage.CANCELLED, WasteCause.GAVE_UP);
    }
  }

  private void reserve() {
    if (decodeEngine().isFailed()) {
      runAfterNetworkDelay(() -> fail(PlacementStage.ENDPOINT_FAILED, WasteCause.ENGINE_LOST));
      return;
    }
    int tokens = coordinator.promptTokens() + coordinator.arrival().maxOutputTokens();
    int pieces = (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
    if (decodeEngine().reserve(coordinator.requestId(), pieces)) {
      runAfterNetworkDelay(this::onReserved);
    } else {
      runAfterNetworkDelay(() -> fail(PlacementStage.RESERVATION_REFUSED, WasteCause.GAVE_UP));
    }
  }

  private void onReserved() {
    report(PlacementStage.RESERVED, 0);
    simulation
        .events()
        .scheduleAfterMillis(split.prefillDelayMillis(), () -> runUnlessEnded(this::startPrefill));
  }

  private void startPrefill() {
    report(PlacementStage.PREFILL_STARTED, 0);
    runAfterNetworkDelay(
        () ->
            simulation
                .engines()
                .prefillEngine(split.prefill())
                .prefill(
                    coordinator.requestId(),
                    coordinator.promptTokens(),
                    coordinator.arrival().prefixBlockHashes(),
                    this::onPrefilled,
                    () ->
                        runAfterNetworkDelay(
                            () -> fail(PlacementStage.PREFILL_FAILED, WasteCause.ENGINE_LOST))));
  }

  private void onPrefilled(int prefilledTokens) {
    simulation.outcomes().recordComputedTokens(prefilledTokens);
    computedTokens = prefilledTokens;
    if (ended) {
      simulation.outcomes().recordWastedTokens(WasteCause.GAVE_UP, prefilledTokens);
      return;
    }
    simulation.events().scheduleAfterMillis(pool().evictionMillis(), this::onEvictionTime);
    runAfterNetworkDelay(
        () -> {
          report(PlacementStage.PREFILLED, prefilledTokens);
          runAfterNetworkDelay(this::startTransfer);
        });
  }

  private void startTransfer() {
    double bytes = (double) coordinator.promptTokens() * pool().kvBytesPerToken();
    transfer = domainLink().transfer(bytes, () -> runUnlessEnded(this::onImported));
  }

  private void onEvictionTime() {
    if (!ended && computedTokens > 0 && !imported) {
      fail(PlacementStage.TRANSFER_FAILED, WasteCause.EVICTED);
    }
  }

  private void onImported() {
    imported = true;
    transfer = null;
    runAfterNetworkDelay(
        () -> {
          report(PlacementStage.IMPORTED, 0);
          runAfterNetworkDelay(this::startDecode);
        });
  }

  private void startDecode() {
    decodeEngine()
        .decode(coordinator.requestId(), coordinator.remainingOutputTokens(), new TokenListener());
  }

  private void fail(PlacementStage stage, WasteCause cause) {
    if (!ended) {
      end(stage, cause);
      coordinator.onAttemptFailed(stage);
    }
  }

  private void end(PlacementStage stage, WasteCause cause) {
    ended = true;
    if (!firstTokenReceived && computedTokens > 0) {
      simulation.outcomes().recordWastedTokens(cause, computedTokens);
    }
    if (transfer != null) {
      domainLink().abort(transfer);
    }
    coordinator.reportProgress(split.attempt(), stage, 0);
    simulation.engines().prefillEngine(split.prefill()).cancel(coordinator.requestId());
    if (stage != PlacementStage.RESERVATION_REFUSED) {
      simulation
          .events()
          .scheduleAfter(
              NETWORK_DELAY_MICROS, () -> decodeEngine().release(coordinator.requestId()));
    }
  }

  private void report(PlacementStage stage, int tokens) {
    coordinator.reportProgress(split.attempt(), stage, tokens);
  }

  private void runAfterNetworkDelay(Runnable task) {
    simulation.events().scheduleAfter(NETWORK_DELAY_MICROS, () -> runUnlessEnded(task));
  }

  private void runUnlessEnded(Runnable task) {
    if (!ended) {
      task.run();
    }
  }

  private SimulatedDecodeEngine decodeEngine() {
    return simulation.engines().decodeEngine(split.decode());
  }

  private SimulatedLink domainLink() {
    return simulation
        .engines()
        .domainLink(simulation.fleet().document().endpoints().get(split.decode()).domain());
  }

  private PoolSpec pool() {
    return simulation.fleet().document().pools().get(simulation.fleet().pool());
  }

  /** Passes the events of the token stream to the request. */
  private final class TokenListener implements SimulatedDecodeEngine.StreamListener {

    @Override
    public void onToken() {
      if (ended) {
        return;
      }
      if (!firstTokenReceived) {
        firstTokenReceived = true;
        report(PlacementStage.FIRST_TOKEN, 0);
      }
      coordinator.onToken();
    }

    @Override
    public void onEnd() {
      if (!ended) {
        ended = true;
        report(PlacementStage.FINISHED, coordinator.arrival().outputTokens());
        coordinator.onFinished();
      }
    }

    @Override
    public void onFailure() {
      runAfterNetworkDelay(() -> fail(PlacementStage.ENDPOINT_FAILED, WasteCause.ENGINE_LOST));
    }
  }
}
