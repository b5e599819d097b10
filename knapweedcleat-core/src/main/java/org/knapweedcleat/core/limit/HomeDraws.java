package org.knapweedcleat.core.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/** Serves draws and refunds from the tokens that are at hand, the own ones and those of others. */
final class HomeDraws {

  private final LimitSettings settings;
  private final InvariantMonitor monitor;
  private final AccountTable table;
  private final LocalTokens tokens;
  private final ShareExchange exchange;
  private final DrawMemory memory = DrawMemory.empty();

  private HomeDraws(
      LimitSettings settings,
      InvariantMonitor monitor,
      AccountTable table,
      LocalTokens tokens,
      ShareExchange exchange) {
    this.settings = settings;
    this.monitor = monitor;
    this.table = table;
    this.tokens = tokens;
    this.exchange = exchange;
  }

  static HomeDraws of(
      LimitSettings settings,
      InvariantMonitor monitor,
      AccountTable table,
      LocalTokens tokens,
      ShareExchange exchange) {
    return new HomeDraws(settings, monitor, table, tokens, exchange);
  }

  /** Takes tokens for the own instance, which grants them at once. */
  LimitMessage.DrawAnswer drawHere(long nowMillis, DrawId draw, AccountId account, long count) {
    return draw(nowMillis, new LimitMessage.Draw(draw, account, count), false);
  }

  /** Answers another instance's draw; a copy of the message gets the same answer. */
  LimitMessage.DrawAnswer answer(long nowMillis, IncarnationId from, LimitMessage.Draw draw) {
    DrawMemory.Known known = memory.find(from, draw.draw());
    if (known != null) {
      return known.answer();
    }
    LimitMessage.DrawAnswer answer = draw(nowMillis, draw, true);
    memory.put(
        from,
        draw.draw(),
        new DrawMemory.Known(draw.account(), draw.tokens(), answer, tokens.period(), nowMillis));
    return answer;
  }

  /** Undoes a draw once; one that has not come yet is refused when it comes. */
  void cancel(long nowMillis, IncarnationId from, DrawId draw) {
    DrawMemory.Known known = memory.find(from, draw);
    LimitMessage.DrawAnswer refused = denied(draw, DenialReason.HOME_UNREACHABLE, 0);
    memory.put(from, draw, new DrawMemory.Known(null, 0, refused, 0, nowMillis));
    if (known == null || !known.answer().granted()) {
      return;
    }
    DomainAccount account = table.find(known.account());
    if (account != null && exchange.isRecentPeriod(known.period())) {
      tokens.giveOverdue(nowMillis, account, known.tokens());
    }
  }

  void refund(long nowMillis, IncarnationId from, LimitMessage.Refund refund) {
    DomainAccount account = table.find(refund.account());
    boolean once = memory.acceptRefund(from, refund.number());
    if (once && account != null && exchange.isRecentMillis(refund.homeMillis())) {
      tokens.giveOverdue(nowMillis, account, refund.tokens());
    }
  }

  void forget(long nowMillis) {
    memory.forget(nowMillis);
  }

  static LimitMessage.DrawAnswer denied(DrawId draw, DenialReason reason, long retryAfterMillis) {
    return new LimitMessage.DrawAnswer(draw, false, reason, retryAfterMillis);
  }

  private LimitMessage.DrawAnswer draw(long nowMillis, LimitMessage.Draw draw, boolean late) {
    DomainAccount account = table.find(draw.account());
    if (account == null) {
      return denied(draw.draw(), DenialReason.UNKNOWN_ACCOUNT, 0);
    }
    monitor.check(exchange.isCurrent(nowMillis), Invariant.RATE_NOT_EXCEEDED, account.id());
    if (tokens.take(nowMillis, account, draw.tokens(), late)) {
      return new LimitMessage.DrawAnswer(draw.draw(), true, DenialReason.OVER_RATE, 0);
    }
    if (table.isConfirmed() && draw.tokens() > account.largestTokens()) {
      return denied(draw.draw(), DenialReason.OVER_BURST, 0);
    }
    long millis = tokens.millisUntil(account, draw.tokens(), settings.renewMillis());
    boolean any = tokens.fraction(account.slot()) > 0;
    DenialReason reason = any ? DenialReason.OVER_RATE : DenialReason.NO_SHARE;
    return denied(draw.draw(), reason, millis);
  }
}
