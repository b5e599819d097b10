package org.knapweedcleat.core.schedule;

/**
 * Settings of a {@link PoolScheduler}: what it assumes of engines until it has learnt better, and
 * how careful it is.
 *
 * @param prefillTokensPerSecond the assumed prefill rate of an endpoint, over 0
 * @param decodeGapBaseMillis the assumed time between tokens of a batch of none
 * @param decodeGapPerRequestMillis what each request of the batch is assumed to add to the gap
 * @param transferTokensPerSecond the assumed rate at which KV cache is transferred, over 0
 * @param learningWeight the weight of one observation in a moving average, in (0, 1]
 * @param outputTokenPrice the price of an output token in prompt tokens
 * @param firstTokenQuantile the share of requests whose first token shall come as estimated
 * @param maxPrefillBacklogMillis how much work may wait at a prefill endpoint
 * @param warmUpMillis how long a new scheduler waits for an endpoint's first report, and keeps half
 *     of the free memory unused
 * @param reportLagMillis how late load reports are assumed to be
 * @param orphanGraceMillis how long unclaimed memory is left alone
 * @param decisionRetentionMillis how long a decision is remembered after its request has ended
 * @param deadlineBoostMillis how long before its latest start a late request is placed before all others
 * @param placementTimeoutMillis how long a placement may go without progress before it is forgotten
 * @param failureBackoffMillis how long an endpoint gets no work after a failure; doubles each time
 * @param maxFailureBackoffMillis the longest such time
 * @param minRetryAfterMillis the shortest time a refused caller is told to stay away
 * @param maxRetryAfterMillis the longest such time
 * @param plainConcurrency how many calls a plain endpoint gets at once
 * @param prefixCapacity how many hashes of prompt prefixes are remembered
 * @param prefixBlockTokens the assumed length of the block of a prompt that one hash covers
 * @param queueShare the part of the free queue places that one account of weight 1 may fill, as a
 *     multiple
 */
public record SchedulePolicy(
    double prefillTokensPerSecond,
    double decodeGapBaseMillis,
    double decodeGapPerRequestMillis,
    double transferTokensPerSecond,
    double learningWeight,
    double outputTokenPrice,
    double firstTokenQuantile,
    int maxPrefillBacklogMillis,
    int warmUpMillis,
    int reportLagMillis,
    int orphanGraceMillis,
    int decisionRetentionMillis,
    int deadlineBoostMillis,
    int placementTimeoutMillis,
    int failureBackoffMillis,
    int maxFailureBackoffMillis,
    int minRetryAfterMillis,
    int maxRetryAfterMillis,
    int plainConcurrency,
    int prefixCapacity,
    int prefixBlockTokens,
    double queueShare) {

  private static final double PREFILL_TOKENS_PER_SECOND = 8_000;
  private static final double DECODE_GAP_BASE_MILLIS = 15;
  private static final double DECODE_GAP_PER_REQUEST_MILLIS = 1;
  private static final double TRANSFER_TOKENS_PER_SECOND = 50_000;
  private static final double LEARNING_WEIGHT = 0.1;
  private static final double OUTPUT_TOKEN_PRICE = 20;
  private static final double FIRST_TOKEN_QUANTILE = 0.95;
  private static final int MAX_PREFILL_BACKLOG_MILLIS = 120;
  private static final int WARM_UP_MILLIS = 1_000;
  private static final int REPORT_LAG_MILLIS = 1_000;
  private static final int ORPHAN_GRACE_MILLIS = 3_000;
  private static final int DECISION_RETENTION_MILLIS = 30_000;
  private static final int DEADLINE_BOOST_MILLIS = 5_000;
  private static final int PLACEMENT_TIMEOUT_MILLIS = 120_000;
  private static final int FAILURE_BACKOFF_MILLIS = 1_000;
  private static final int MAX_FAILURE_BACKOFF_MILLIS = 30_000;
  private static final int MIN_RETRY_AFTER_MILLIS = 100;
  private static final int MAX_RETRY_AFTER_MILLIS = 60_000;
  private static final int PLAIN_CONCURRENCY = 32;
  private static final int PREFIX_CAPACITY = 20_000;
  private static final int PREFIX_BLOCK_TOKENS = 128;
  private static final double QUEUE_SHARE = 2;

  /** Checks the ranges. */
  public SchedulePolicy {
    requirePositive(prefillTokensPerSecond, "prefillTokensPerSecond");
    requirePositive(transferTokensPerSecond, "transferTokensPerSecond");
    requirePositive(learningWeight, "learningWeight");
    requirePositive(queueShare, "queueShare");
    requirePositive(plainConcurrency, "plainConcurrency");
    requirePositive(prefixBlockTokens, "prefixBlockTokens");
  }

  /**
   * Returns the settings for engines of which nothing is known.
   *
   * @return the settings
   */
  public static SchedulePolicy defaults() {
    return new SchedulePolicy(
        PREFILL_TOKENS_PER_SECOND,
        DECODE_GAP_BASE_MILLIS,
        DECODE_GAP_PER_REQUEST_MILLIS,
        TRANSFER_TOKENS_PER_SECOND,
        LEARNING_WEIGHT,
        OUTPUT_TOKEN_PRICE,
        FIRST_TOKEN_QUANTILE,
        MAX_PREFILL_BACKLOG_MILLIS,
        WARM_UP_MILLIS,
        REPORT_LAG_MILLIS,
        ORPHAN_GRACE_MILLIS,
        DECISION_RETENTION_MILLIS,
        DEADLINE_BOOST_MILLIS,
        PLACEMENT_TIMEOUT_MILLIS,
        FAILURE_BACKOFF_MILLIS,
        MAX_FAILURE_BACKOFF_MILLIS,
        MIN_RETRY_AFTER_MILLIS,
        MAX_RETRY_AFTER_MILLIS,
        PLAIN_CONCURRENCY,
        PREFIX_CAPACITY,
        PREFIX_BLOCK_TOKENS,
        QUEUE_SHARE);
  }

  /**
   * Keeps a time for a refused caller within the limits.
   *
   * @param millis the wanted time
   * @return the time within the limits
   */
  public long clampRetryAfter(double millis) {
    return Math.round(Math.max(minRetryAfterMillis, Math.min(maxRetryAfterMillis, millis)));
  }

  private static void requirePositive(double value, String name) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + " must be over 0");
    }
  }
}
