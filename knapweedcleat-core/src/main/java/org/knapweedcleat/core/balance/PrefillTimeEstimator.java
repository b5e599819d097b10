package org.knapweedcleat.core.balance;

/** Learns how fast the engines of a service read prompts. */
public final class PrefillTimeEstimator {

  /** Assumed until a prefill has ended: 33 tokens a millisecond, as both users' engines read. */
  private static final double INITIAL_MILLIS_PER_TOKEN = 0.03;

  /** How much the newest prefill counts. */
  private static final double OBSERVATION_WEIGHT = 0.1;

  /** A decode engine reads at half the speed of a prefill engine. */
  private static final double DECODE_ENGINE_FACTOR = 2;

  private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

  private PrefillTimeEstimator() {}

  /**
   * Returns the assumed speed.
   *
   * @return the speed
   */
  public static PrefillTimeEstimator initial() {
    return new PrefillTimeEstimator();
  }

  /**
   * Notes a prefill on an engine that had nothing else to read.
   *
   * @param tokens the prompt's tokens, at least 1
   * @param tookMillis how long it took
   */
  public void record(long tokens, double tookMillis) {
    double bounded = Math.min(tookMillis / tokens, millisPerToken * 2);
    millisPerToken += OBSERVATION_WEIGHT * (bounded - millisPerToken);
  }

  /**
   * Returns how long a prefill engine reads.
   *
   * @param tokens the tokens before and of the prompt
   * @return milliseconds
   */
  public double onPrefillEngineMillis(long tokens) {
    return tokens * millisPerToken;
  }

  /**
   * Returns how long a decode engine reads.
   *
   * @param tokens the tokens before and of the prompt
   * @return milliseconds
   */
  public double onDecodeEngineMillis(long tokens) {
    return tokens * millisPerToken * DECODE_ENGINE_FACTOR;
  }
}
