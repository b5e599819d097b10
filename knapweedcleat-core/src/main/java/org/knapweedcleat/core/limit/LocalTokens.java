package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * The tokens that this instance has at hand, by the fraction of the failure domain's rate and burst
 * that it may use in each slot: its own share, unless pledged, and the pledges that it holds.
 */
final class LocalTokens {

  private static final double ROUNDING = 1e-9;
  private static final int MAX_LISTED_BALANCES = 50;

  private final AccountTable table;
  private final InvariantMonitor monitor;
  private final double[] fractions = new double[Slots.COUNT];
  private long period;

  private LocalTokens(AccountTable table, InvariantMonitor monitor) {
    this.table = table;
    this.monitor = monitor;
  }

  static LocalTokens of(AccountTable table, InvariantMonitor monitor) {
    return new LocalTokens(table, monitor);
  }

  void configure(
      long nowMillis, Revision revision, Collection<AccountSpec> specs, Set<FailureDomainId> all) {
    earnAll(nowMillis);
    table.configure(nowMillis, revision, specs, all);
    truncateAll();
  }

  void confirm(long nowMillis) {
    earnAll(nowMillis);
    table.confirm();
  }

  void reset(long nowMillis) {
    earnAll(nowMillis);
    table.reset();
    truncateAll();
  }

  /** Starts a period, for refunds that come late. */
  void nextPeriod() {
    period++;
  }

  long period() {
    return period;
  }

  /** Changes what may be used of a slot from the given time on. */
  void setFraction(int slot, double next, long atMillis) {
    double last = fractions[slot];
    if (last == next) {
      return;
    }
    for (DomainAccount account : table.inSlot(slot)) {
      account.earn(atMillis, period, last);
      if (next < last) {
        account.bucket().truncate(account.capTokens(next));
      }
    }
    fractions[slot] = next;
    monitor.check(next <= 1 + ROUNDING, Invariant.RATE_NOT_EXCEEDED, Slots.name(slot));
  }

  double fraction(int slot) {
    return fractions[slot];
  }

  /** Takes tokens; late ones are granted by another instance within the draw's timeout. */
  boolean take(long nowMillis, DomainAccount account, long tokens, boolean late) {
    double fraction = fractions[account.slot()];
    account.earn(nowMillis, period, fraction);
    Bucket bucket = account.bucket();
    boolean taken = late ? bucket.takeLate(nowMillis, tokens) : bucket.take(tokens);
    double capTokens = account.capTokens(fraction) * (1 + ROUNDING);
    monitor.check(!taken || tokens <= capTokens, Invariant.RATE_NOT_EXCEEDED, account.id());
    return taken;
  }

  void give(long nowMillis, DomainAccount account, long tokens) {
    double fraction = fractions[account.slot()];
    account.earn(nowMillis, period, fraction);
    account.bucket().add(tokens, account.capTokens(fraction));
  }

  void giveOverdue(long nowMillis, DomainAccount account, long tokens) {
    double fraction = fractions[account.slot()];
    account.earn(nowMillis, period, fraction);
    account.bucket().addOverdue(tokens, account.capTokens(fraction));
  }

  /** Returns how long the present fraction takes to earn tokens, or a default if it never does. */
  long millisUntil(DomainAccount account, long tokens, long otherwiseMillis) {
    double fraction = fractions[account.slot()];
    double missingTokens = tokens - account.bucket().levelTokens();
    double tokensPerMilli = account.tokensPerMilli(fraction);
    if (tokens > account.capTokens(fraction) || tokensPerMilli <= 0) {
      return otherwiseMillis;
    }
    return Math.max(1, (long) Math.ceil(missingTokens / tokensPerMilli));
  }

  /** Takes one owner's part out of the buckets of a slot, before its fraction leaves. */
  SlotFill remove(long nowMillis, int slot, double ownerFraction) {
    double part = fractions[slot] > 0 ? Math.min(1, ownerFraction / fractions[slot]) : 0;
    List<Filled> filled = new ArrayList<>();
    for (DomainAccount account : table.inSlot(slot)) {
      account.earn(nowMillis, period, fractions[slot]);
      filled.add(Filled.split(account, part, account.capTokens(ownerFraction)));
    }
    filled.sort(Comparator.comparing(Filled::isLate).reversed().thenComparing(Filled::ratio));
    int late = (int) filled.stream().filter(Filled::isLate).count();
    int listed = Math.min(filled.size(), Math.max(late, MAX_LISTED_BALANCES));
    double ratio = listed < filled.size() ? filled.get(listed).ratio() : 0;
    List<SlotFill.Balance> balances = filled.stream().limit(listed).map(Filled::balance).toList();
    return new SlotFill(slot, table.confirmedRevision(), Math.min(1, ratio), balances);
  }

  /** Adds one owner's part to the buckets of a slot, after its fraction has come. */
  void add(long nowMillis, SlotFill fill, double ownerFraction) {
    Map<AccountId, SlotFill.Balance> listed = new HashMap<>();
    fill.balances().forEach(balance -> listed.put(balance.account(), balance));
    boolean sameDocument = table.isConfirmed() && fill.revision().equals(table.confirmedRevision());
    double ratio = sameDocument ? fill.ratio() : 0;
    double fraction = fractions[fill.slot()];
    for (DomainAccount account : table.inSlot(fill.slot())) {
      double ownerCapTokens = account.capTokens(ownerFraction);
      SlotFill.Balance unlisted = new SlotFill.Balance(account.id(), ratio * ownerCapTokens, 0);
      SlotFill.Balance balance = listed.getOrDefault(account.id(), unlisted);
      account.earn(nowMillis, period, fraction);
      if (balance.lateTokens() > 0) {
        account.bucket().addLateTokens(nowMillis, balance.lateTokens());
      }
      double tokens = Math.min(balance.tokens(), ownerCapTokens);
      account.bucket().add(tokens, account.capTokens(fraction));
    }
  }

  private void earnAll(long nowMillis) {
    for (DomainAccount account : table.all()) {
      account.earn(nowMillis, period, fractions[account.slot()]);
    }
  }

  private void truncateAll() {
    for (DomainAccount account : table.all()) {
      account.bucket().truncate(account.capTokens(fractions[account.slot()]));
    }
  }

  /** One owner's part of one bucket. */
  private record Filled(AccountId account, double tokens, double lateTokens, double ratio) {

    static Filled split(DomainAccount account, double part, double ownerCapTokens) {
      double tokens = account.bucket().split(part);
      double lateTokens = account.bucket().splitLate(part);
      double ratio = ownerCapTokens > 0 ? tokens / ownerCapTokens : 0;
      return new Filled(account.id(), tokens, lateTokens, ratio);
    }

    boolean isLate() {
      return lateTokens > 0;
    }

    SlotFill.Balance balance() {
      return new SlotFill.Balance(account, tokens, lateTokens);
    }
  }
}
