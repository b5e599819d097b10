package org.knapweedcleat.core.schedule;

/**
 * Settings of a {@link PoolScheduler}: initial estimates of engine performance, and limits.
 *
 * @param prefillTokensPerSecond the initial estimate of an endpoint's prefill rate, over 0
 * @param decodeGapBaseMillis the initial estimate of the time between tokens, without the part that
 *     grows with the batch
 * @param decodeGapPerRequestMillis the initial estimate of the time that each request in a batch
 *     adds between tokens
 * @param transferTokensPerSecond the initial estimate of the KV cache transfer rate, over 0
 * @param learningWeight the weight of a new observation in moving averages, in (0, 1]
 * @param outputTokenPrice the price of an output token in prompt tokens
 * @param firstTokenQuantile the fraction of requests whose first token should arrive by its
 *     estimate
 * @param maxPrefillBacklogMillis the longest prefill backlog at which an endpoint gets more work
 * @param warmUpMillis how long a new scheduler waits for an endpoint's first report, and keeps half
 *     of each endpoint's memory unused
 * @param reportLagMillis the initial estimate of the delay of load reports
 * @param orphanGraceMillis how long unclaimed requests are kept before they are cancelled
 * @param decisionRetentionMillis how long a decision is kept, unless its placement is still active
 * @param deadlineBoostMillis how long before its latest start time a non-urgent request is placed
 *     ahead of all others
 * @param placementTimeoutMillis how long a placement may be without progress before it is ended
 * @param failureBackoffMillis how long an endpoint gets no work after a failure; doubles with each
 *     further failure
 * @param maxFailureBackoffMillis the longest backoff after a failure
 * @param minRetryAfterMillis the shortest retry delay for a refused caller
 * @param maxRetryAfterMillis the longest retry delay for a refused caller
 * @param plainConcurrency the maximum number of concurrent calls at a plain endpoint
 * @param prefixCapacity the maximum number of prompt prefix hashes to index
 * @param prefixBlockTokens the initial estimate of the length of a prompt block
 * @param queueShare how many requests an account may queue, as a multiple of the free queue places
 *     and the account's weight
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

  /** Validates the settings. */
  public SchedulePolicy {
    requirePositive(prefillTokensPerSecond, "prefillTokensPerSecond");
    requirePositive(transferTokensPerSecond, "transferTokensPerSecond");
    requirePositive(learningWeight, "learningWeight");
    requirePositive(queueShare, "queueShare");
    requirePositive(plainConcurrency, "plainConcurrency");
    requirePositive(prefixBlockTokens, "prefixBlockTokens");
  }

  /**
   * Returns the default settings, for engines of unknown performance.
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
   * Limits a retry delay to the configured range.
   *
   * @param millis the delay
   * @return the delay within the range
   */
  public long clampRetryAfter(double millis) {
    return Math.round(Math.max(minRetryAfterMillis, Math.min(maxRetryAfterMillis, millis)));
  }

  private static void requirePositive(double value, String name) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + " must be positive");
    }
  }
}
