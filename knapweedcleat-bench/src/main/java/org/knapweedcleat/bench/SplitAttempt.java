package org.knapweedcleat.bench;

import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.schedule.PlacementDecision.Split;
import org.knapweedcleat.core.schedule.PlacementStage;

/** One placement of a request, carried through its stages against the fake engines. */
final class SplitAttempt {

  private static final int TOKENS_PER_PIECE = 1_000;
  private static final long HOP_MICROS = 1_000;

  private final Simulation simulation;
  private final RequestRun run;
  private final Split split;
  private FakeLink.Transfer transfer;
  private int computedTokens;
  private boolean imported;
  private boolean generated;
  private boolean over;

  private SplitAttempt(Simulation simulation, RequestRun run, Split split) {
    this.simulation = simulation;
    this.run = run;
    this.split = split;
  }

  static SplitAttempt start(Simulation simulation, RequestRun run, Split split) {
    SplitAttempt attempt = new SplitAttempt(simulation, run, split);
    attempt.hop(attempt::reserve);
    return attempt;
  }

  void cancel() {
    if (!over) {
      end(PlacementStage.CANCELLED, WasteCause.GAVE_UP);
    }
  }

  private void reserve() {
    if (decode().isLost()) {
      hop(() -> fail(PlacementStage.ENDPOINT_FAILED, WasteCause.ENGINE_LOST));
      return;
    }
    int tokens = run.promptTokens() + run.arrival().maxOutputTokens();
    int pieces = (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
    if (decode().reserve(run.request(), pieces)) {
      hop(this::reserved);
    } else {
      hop(() -> fail(PlacementStage.RESERVATION_REFUSED, WasteCause.GAVE_UP));
    }
  }

  private void reserved() {
    report(PlacementStage.RESERVED, 0);
    simulation.events().afterMillis(split.prefillDelayMillis(), () -> unlessOver(this::prefill));
  }

  private void prefill() {
    report(PlacementStage.PREFILL_STARTED, 0);
    hop(
        () ->
            simulation
                .engines()
                .prefill(split.prefill())
                .prefill(
                    run.request(),
                    run.promptTokens(),
                    run.arrival().hashes(),
                    this::prefilled,
                    () -> hop(() -> fail(PlacementStage.PREFILL_FAILED, WasteCause.ENGINE_LOST))));
  }

  private void prefilled(int computed) {
    simulation.outcomes().computed(computed);
    computedTokens = computed;
    if (over) {
      simulation.outcomes().wasted(WasteCause.GAVE_UP, computed);
      return;
    }
    simulation.events().afterMillis(pool().evictionMillis(), this::evicted);
    hop(
        () -> {
          report(PlacementStage.PREFILLED, computed);
          hop(this::transfer);
        });
  }

  private void transfer() {
    double bytes = (double) run.promptTokens() * pool().kvBytesPerToken();
    transfer = link().transfer(bytes, () -> unlessOver(this::imported));
  }

  private void evicted() {
    if (!over && computedTokens > 0 && !imported) {
      fail(PlacementStage.TRANSFER_FAILED, WasteCause.EVICTED);
    }
  }

  private void imported() {
    imported = true;
    transfer = null;
    hop(
        () -> {
          report(PlacementStage.IMPORTED, 0);
          hop(this::decodeNow);
        });
  }

  private void decodeNow() {
    decode().decode(run.request(), run.remainingOutputTokens(), new Listener());
  }

  private void fail(PlacementStage stage, WasteCause cause) {
    if (!over) {
      end(stage, cause);
      run.attemptFailed(stage);
    }
  }

  private void end(PlacementStage stage, WasteCause cause) {
    over = true;
    if (!generated && computedTokens > 0) {
      simulation.outcomes().wasted(cause, computedTokens);
    }
    if (transfer != null) {
      link().abort(transfer);
    }
    run.report(split.attempt(), stage, 0);
    simulation.engines().prefill(split.prefill()).cancel(run.request());
    if (stage != PlacementStage.RESERVATION_REFUSED) {
      simulation.events().after(HOP_MICROS, () -> decode().release(run.request()));
    }
  }

  private void report(PlacementStage stage, int tokens) {
    run.report(split.attempt(), stage, tokens);
  }

  private void hop(Runnable task) {
    simulation.events().after(HOP_MICROS, () -> unlessOver(task));
  }

  private void unlessOver(Runnable task) {
    if (!over) {
      task.run();
    }
  }

  private FakeDecodeEngine decode() {
    return simulation.engines().decode(split.decode());
  }

  private FakeLink link() {
    return simulation
        .engines()
        .link(simulation.fleet().document().endpoints().get(split.decode()).domain());
  }

  private PoolSpec pool() {
    return simulation.fleet().document().pools().get(simulation.fleet().pool());
  }

  /** Hears of the tokens. */
  private final class Listener implements FakeDecodeEngine.StreamListener {

    @Override
    public void token() {
      if (over) {
        return;
      }
      if (!generated) {
        generated = true;
        report(PlacementStage.FIRST_TOKEN, 0);
      }
      run.token();
    }

    @Override
    public void ended() {
      if (!over) {
        over = true;
        report(PlacementStage.FINISHED, run.arrival().outputTokens());
        run.finished();
      }
    }

    @Override
    public void failed() {
      hop(() -> fail(PlacementStage.ENDPOINT_FAILED, WasteCause.ENGINE_LOST));
    }
  }
}
