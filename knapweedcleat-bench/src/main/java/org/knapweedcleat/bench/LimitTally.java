package org.knapweedcleat.bench;

import java.util.Locale;
import org.knapweedcleat.core.config.AccountSpec;

/** Compares what an account was granted with one exact bucket for the whole fleet. */
final class LimitTally {

  private final TokenBucket exact;
  private final TokenBucket alone;
  private final long fromMicros;
  private long requests;
  private long granted;
  private long refused;
  private long wrongful;
  private long insideRate;
  private double overGrantTokens;
  private long chargedTokens;
  private long aloneTokens;

  private LimitTally(TokenBucket exact, TokenBucket alone, long fromMicros) {
    this.exact = exact;
    this.alone = alone;
    this.fromMicros = fromMicros;
  }

  /** Returns a tally that counts the requests that arrive from a time on. */
  static LimitTally of(AccountSpec account, long fromMicros) {
    return new LimitTally(bucket(account), bucket(account), fromMicros);
  }

  /** Tells what exact buckets say to a request that arrives. */
  Expected arrived(long nowMicros, LimitArrival arrival) {
    requests += counts(arrival);
    boolean hadTokens = exact.has(nowMicros, arrival.tokens());
    boolean insideRate = alone.take(nowMicros, arrival.tokens());
    aloneTokens += insideRate ? counts(arrival) * arrival.tokens() : 0;
    return new Expected(hadTokens, insideRate);
  }

  void charged(long nowMicros, long tokens) {
    double missing = exact.force(nowMicros, tokens);
    if (nowMicros >= fromMicros) {
      overGrantTokens += missing;
      chargedTokens += tokens;
    }
  }

  void granted(LimitArrival arrival) {
    granted += counts(arrival);
  }

  void refused(long nowMicros, LimitArrival arrival, Expected expected) {
    refused += counts(arrival);
    boolean hasTokens = exact.has(nowMicros, arrival.tokens());
    wrongful += expected.hadTokens() || hasTokens ? counts(arrival) : 0;
    insideRate += expected.insideRate() ? counts(arrival) : 0;
  }

  String row() {
    long unanswered = requests - granted - refused;
    return String.format(
        Locale.ROOT,
        "%d | %d | %d | %d | %d | %d | %d | %d | %.0f",
        requests,
        granted,
        refused,
        unanswered,
        wrongful,
        insideRate,
        chargedTokens,
        aloneTokens,
        overGrantTokens);
  }

  private static TokenBucket bucket(AccountSpec account) {
    return TokenBucket.of(account.rateTokensPerSecond(), account.burstTokens());
  }

  private int counts(LimitArrival arrival) {
    return arrival.atMicros() >= fromMicros ? 1 : 0;
  }

  /**
   * What exact buckets for the whole fleet say to a request.
   *
   * @param hadTokens whether the one charged with what was granted has the tokens
   * @param insideRate whether one that decides alone over the same requests lets it through
   */
  record Expected(boolean hadTokens, boolean insideRate) {}
}
