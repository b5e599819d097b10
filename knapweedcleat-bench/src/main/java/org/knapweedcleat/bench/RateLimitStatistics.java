package org.knapweedcleat.bench;

import java.util.Locale;
import org.knapweedcleat.core.config.AccountSpec;

/** Compares the grants to an account with exact token buckets for the whole fleet. */
final class RateLimitStatistics {

  private final TokenBucket exactBucket;
  private final TokenBucket referenceBucket;
  private final long countFromMicros;
  private long requests;
  private long grantedRequests;
  private long refusedRequests;
  private long falseRefusals;
  private long refusedWithinRate;
  private double overGrantTokens;
  private long chargedTokens;
  private long referenceTokens;

  private RateLimitStatistics(
      TokenBucket exactBucket, TokenBucket referenceBucket, long countFromMicros) {
    this.exactBucket = exactBucket;
    this.referenceBucket = referenceBucket;
    this.countFromMicros = countFromMicros;
  }

  /** Returns statistics of the requests that arrive at the given time or later. */
  static RateLimitStatistics of(AccountSpec account, long countFromMicros) {
    return new RateLimitStatistics(bucket(account), bucket(account), countFromMicros);
  }

  /** Records an arrival and returns the decisions of the exact buckets. */
  ReferenceDecision recordArrival(long nowMicros, RateLimitArrival arrival) {
    requests += countOf(arrival);
    boolean hadTokens = exactBucket.hasTokens(nowMicros, arrival.tokens());
    boolean withinRate = referenceBucket.tryTake(nowMicros, arrival.tokens());
    referenceTokens += withinRate ? countOf(arrival) * arrival.tokens() : 0;
    return new ReferenceDecision(hadTokens, withinRate);
  }

  void recordCharge(long nowMicros, long tokens) {
    double missingTokens = exactBucket.takeUpTo(nowMicros, tokens);
    if (nowMicros >= countFromMicros) {
      overGrantTokens += missingTokens;
      chargedTokens += tokens;
    }
  }

  void recordGrant(RateLimitArrival arrival) {
    grantedRequests += countOf(arrival);
  }

  void recordRefusal(long nowMicros, RateLimitArrival arrival, ReferenceDecision reference) {
    refusedRequests += countOf(arrival);
    boolean hasTokens = exactBucket.hasTokens(nowMicros, arrival.tokens());
    falseRefusals += reference.hadTokens() || hasTokens ? countOf(arrival) : 0;
    refusedWithinRate += reference.withinRate() ? countOf(arrival) : 0;
  }

  String formatRow() {
    long unanswered = requests - grantedRequests - refusedRequests;
    return String.format(
        Locale.ROOT,
        "%d | %d | %d | %d | %d | %d | %d | %d | %.0f",
        requests,
        grantedRequests,
        refusedRequests,
        unanswered,
        falseRefusals,
        refusedWithinRate,
        chargedTokens,
        referenceTokens,
        overGrantTokens);
  }

  private static TokenBucket bucket(AccountSpec account) {
    return TokenBucket.of(account.rateTokensPerSecond(), account.burstTokens());
  }

  private int countOf(RateLimitArrival arrival) {
    return arrival.atMicros() >= countFromMicros ? 1 : 0;
  }

  /**
   * The decisions of exact buckets for the whole fleet on a request.
   *
   * @param hadTokens whether the bucket charged with the actual grants has enough tokens
   * @param withinRate whether a bucket that makes all decisions itself admits the request
   */
  record ReferenceDecision(boolean hadTokens, boolean withinRate) {}
}
