package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/** Handles draws and refunds of this and other instances with the local token buckets. */
final class DrawHandler {

  private final LimitSettings settings;
  private final InvariantMonitor monitor;
  private final AccountTable accounts;
  private final LocalBuckets buckets;
  private final PledgeExchange exchange;
  private final DrawHistory history = DrawHistory.empty();

  private DrawHandler(
      LimitSettings settings,
      InvariantMonitor monitor,
      AccountTable accounts,
      LocalBuckets buckets,
      PledgeExchange exchange) {
    this.settings = settings;
    this.monitor = monitor;
    this.accounts = accounts;
    this.buckets = buckets;
    this.exchange = exchange;
  }

  static DrawHandler of(
      LimitSettings settings,
      InvariantMonitor monitor,
      AccountTable accounts,
      LocalBuckets buckets,
      PledgeExchange exchange) {
    return new DrawHandler(settings, monitor, accounts, buckets, exchange);
  }

  /** Takes tokens for this instance, which grants them immediately. */
  LimitMessage.DrawAnswer drawLocally(long nowMillis, DrawId draw, AccountId account, long count) {
    return takeTokens(nowMillis, new LimitMessage.Draw(draw, account, count), false);
  }

  /** Answers another instance's draw; a duplicate gets the same answer. */
  LimitMessage.DrawAnswer answer(long nowMillis, IncarnationId from, LimitMessage.Draw draw) {
    DrawHistory.RecordedDraw recorded = history.find(from, draw.draw());
    if (recorded != null) {
      return recorded.answer();
    }
    LimitMessage.DrawAnswer answer = takeTokens(nowMillis, draw, true);
    history.put(
        from,
        draw.draw(),
        new DrawHistory.RecordedDraw(
            draw.account(), draw.tokens(), answer, buckets.period(), nowMillis));
    return answer;
  }

  /** Cancels a draw; one that has not arrived yet will be denied on arrival. */
  void cancel(long nowMillis, IncarnationId from, DrawId draw) {
    DrawHistory.RecordedDraw recorded = history.find(from, draw);
    LimitMessage.DrawAnswer refused = denied(draw, DenialReason.HOME_UNREACHABLE, 0);
    history.put(from, draw, new DrawHistory.RecordedDraw(null, 0, refused, 0, nowMillis));
    if (recorded == null || !recorded.answer().granted()) {
      return;
    }
    DomainAccount account = accounts.find(recorded.account());
    if (account != null && exchange.isRecentPeriod(recorded.period())) {
      buckets.refundDelayed(nowMillis, account, recorded.tokens());
    }
  }

  void refund(long nowMillis, IncarnationId from, LimitMessage.Refund refund) {
    DomainAccount account = accounts.find(refund.account());
    boolean firstDelivery = history.acceptRefund(from, refund.number());
    if (firstDelivery && account != null && exchange.isRecentMillis(refund.homeMillis())) {
      buckets.refundDelayed(nowMillis, account, refund.tokens());
    }
  }

  void prune(long nowMillis) {
    history.prune(nowMillis);
  }

  static LimitMessage.DrawAnswer denied(DrawId draw, DenialReason reason, long retryAfterMillis) {
    return new LimitMessage.DrawAnswer(draw, false, reason, retryAfterMillis);
  }

  private LimitMessage.DrawAnswer takeTokens(
      long nowMillis, LimitMessage.Draw draw, boolean remote) {
    DomainAccount account = accounts.find(draw.account());
    if (account == null) {
      return denied(draw.draw(), DenialReason.UNKNOWN_ACCOUNT, 0);
    }
    monitor.check(
        exchange.hasNoExpiredPledge(nowMillis), Invariant.RATE_NOT_EXCEEDED, account.id());
    if (buckets.take(nowMillis, account, draw.tokens(), remote)) {
      return new LimitMessage.DrawAnswer(draw.draw(), true, DenialReason.OVER_RATE, 0);
    }
    if (accounts.isConfirmed() && draw.tokens() > account.maxTokens()) {
      return denied(draw.draw(), DenialReason.OVER_BURST, 0);
    }
    long retryAfterMillis = buckets.millisUntil(account, draw.tokens(), settings.renewMillis());
    boolean hasShare = buckets.fraction(account.slot()) > 0;
    DenialReason reason = hasShare ? DenialReason.OVER_RATE : DenialReason.NO_SHARE;
    return denied(draw.draw(), reason, retryAfterMillis);
  }
}
