package org.knapweedcleat.core.balance;

/** Estimates how long the engines of a service take to prefill prompts, from observed prefills. */
public final class PrefillTimeEstimator {

  /** Initial estimate: 33 tokens per millisecond, the prefill speed of both users' engines. */
  private static final double INITIAL_MILLIS_PER_TOKEN = 0.03;

  /** Weight of the latest observation. */
  private static final double OBSERVATION_WEIGHT = 0.1;

  /** A decode engine takes twice as long as a prefill engine. */
  private static final double DECODE_ENGINE_FACTOR = 2;

  private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

  private PrefillTimeEstimator() {}

  /**
   * Returns an estimator with the initial estimate.
   *
   * @return the estimator
   */
  public static PrefillTimeEstimator initial() {
    return new PrefillTimeEstimator();
  }

  /**
   * Records a prefill on an engine that had no other prompts queued. An outlier counts as at most
   * twice the current estimate.
   *
   * @param tokens the number of prompt tokens, at least 1
   * @param durationMillis the duration of the prefill
   */
  public void record(long tokens, double durationMillis) {
    double boundedMillisPerToken = Math.min(durationMillis / tokens, millisPerToken * 2);
    millisPerToken += OBSERVATION_WEIGHT * (boundedMillisPerToken - millisPerToken);
  }

  /**
   * Estimates the prefill time on a prefill engine.
   *
   * @param tokens the tokens of the prompt and of those queued before it
   * @return milliseconds
   */
  public double onPrefillEngineMillis(long tokens) {
    return tokens * millisPerToken;
  }

  /**
   * Estimates the prefill time on a decode engine.
   *
   * @param tokens the tokens of the prompt and of those queued before it
   * @return milliseconds
   */
  public double onDecodeEngineMillis(long tokens) {
    return tokens * millisPerToken * DECODE_ENGINE_FACTOR;
  }
}
