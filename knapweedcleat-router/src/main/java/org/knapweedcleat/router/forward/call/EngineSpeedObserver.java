package org.knapweedcleat.router.forward.call;

import org.knapweedcleat.core.balance.EngineSpeeds;
import org.knapweedcleat.core.balance.SpeedMeasure;
import org.knapweedcleat.core.balance.StepTimer;
import org.knapweedcleat.core.directory.EndpointEntry;

/** Observes the speed of an engine during one request of a stream. */
final class EngineSpeedObserver {

  /** With shorter prompts, the delay before an engine's first response would count most. */
  private static final long MIN_PROMPT_TOKENS = 500;

  private final ForwardContext context;
  private final EndpointEntry engine;
  private final long promptTokens;
  private final boolean wasIdle;
  private final long sentMillis;
  private final StepTimer steps = StepTimer.create();

  private EngineSpeedObserver(
      ForwardContext context, EndpointEntry engine, long promptTokens, long ownQueuedTokens) {
    this.context = context;
    this.engine = engine;
    this.promptTokens = promptTokens;
    this.sentMillis = context.nowMillis();
    this.wasIdle = context.work().total(engine.id(), sentMillis).promptTokens() <= ownQueuedTokens;
  }

  /**
   * Returns an observer of a request to a prefill engine, whose prompt is not yet counted as work.
   */
  static EngineSpeedObserver ofPrefill(
      ForwardContext context, EndpointEntry engine, long promptTokens) {
    return new EngineSpeedObserver(context, engine, promptTokens, 0);
  }

  /**
   * Returns an observer of a request to a decode engine.
   *
   * @param context the state that all calls share
   * @param engine the engine
   * @param promptTokens the tokens of the prompt that the engine prefills, already counted as its
   *     work; 0 if it fetches them
   */
  static EngineSpeedObserver ofDecode(
      ForwardContext context, EndpointEntry engine, long promptTokens) {
    return new EngineSpeedObserver(context, engine, promptTokens, promptTokens);
  }

  /** Records that a prefill engine has prefilled the prompt. */
  void onPrefilled() {
    if (!wasIdle) {
      return;
    }
    long nowMillis = context.nowMillis();
    context
        .chooser()
        .prefillTimeEstimator(engine.service())
        .record(
            Math.max(1, promptTokens),
            (nowMillis - sentMillis) / speeds().prefillFactor(nowMillis, engine));
    recordPrefill(nowMillis, SpeedMeasure.PREFILL);
  }

  /**
   * Records an event of the response.
   *
   * @param isPaused whether the response is paused because the caller does not read
   */
  void onEvent(boolean isPaused) {
    long nowMillis = context.nowMillis();
    steps
        .onEvent(nowMillis)
        .ifPresent(millis -> speeds().record(nowMillis, engine, SpeedMeasure.STEP, millis));
    if (isPaused) {
      steps.onPaused();
    }
  }

  /** Records the first event of the response, after which a local prefill is complete. */
  void onFirstEvent() {
    if (wasIdle) {
      recordPrefill(context.nowMillis(), SpeedMeasure.LOCAL_PREFILL);
    }
  }

  private void recordPrefill(long nowMillis, SpeedMeasure measure) {
    if (promptTokens < MIN_PROMPT_TOKENS) {
      return;
    }
    int roundTripMillis = context.domains().distanceToLocal(engine.domain()).roundTripMillis();
    double tookMillis = Math.max(1, nowMillis - sentMillis - roundTripMillis);
    speeds().record(nowMillis, engine, measure, tookMillis / promptTokens);
  }

  private EngineSpeeds speeds() {
    return context.speeds().speeds();
  }
}
