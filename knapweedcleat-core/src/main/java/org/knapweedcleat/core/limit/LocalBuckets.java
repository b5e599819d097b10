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
 * The token buckets of this instance. In each slot it may use a fraction of the failure domain's
 * rate and burst: its own share, unless pledged, and the pledges that it holds.
 */
final class LocalBuckets {

  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final int MAX_LISTED_BALANCES = 50;

  private final AccountTable accounts;
  private final InvariantMonitor monitor;
  private final double[] fractions = new double[AccountSlots.COUNT];
  private long period;

  private LocalBuckets(AccountTable accounts, InvariantMonitor monitor) {
    this.accounts = accounts;
    this.monitor = monitor;
  }

  static LocalBuckets of(AccountTable accounts, InvariantMonitor monitor) {
    return new LocalBuckets(accounts, monitor);
  }

  void configure(
      long nowMillis,
      Revision revision,
      Collection<AccountSpec> specs,
      Set<FailureDomainId> allDomains) {
    refillAll(nowMillis);
    accounts.configure(nowMillis, revision, specs, allDomains);
    truncateAll();
  }

  void confirm(long nowMillis) {
    refillAll(nowMillis);
    accounts.confirm();
  }

  void reset(long nowMillis) {
    refillAll(nowMillis);
    accounts.reset();
    truncateAll();
  }

  /** Starts a new period, which bounds the age of delayed refunds. */
  void startPeriod() {
    period++;
  }

  long period() {
    return period;
  }

  /** Sets the usable fraction of a slot from the given time on. */
  void setFraction(int slot, double nextFraction, long atMillis) {
    double previousFraction = fractions[slot];
    if (previousFraction == nextFraction) {
      return;
    }
    for (DomainAccount account : accounts.inSlot(slot)) {
      account.refill(atMillis, period, previousFraction);
      if (nextFraction < previousFraction) {
        account.bucket().truncate(account.capTokens(nextFraction));
      }
    }
    fractions[slot] = nextFraction;
    monitor.check(
        nextFraction <= 1 + ROUNDING_TOLERANCE,
        Invariant.RATE_NOT_EXCEEDED,
        AccountSlots.name(slot));
  }

  double fraction(int slot) {
    return fractions[slot];
  }

  /** Takes tokens; remote ones may be granted by another instance until the draw times out. */
  boolean take(long nowMillis, DomainAccount account, long tokens, boolean remote) {
    double fraction = fractions[account.slot()];
    account.refill(nowMillis, period, fraction);
    AccountTokenBucket bucket = account.bucket();
    boolean taken = remote ? bucket.takeInFlight(nowMillis, tokens) : bucket.take(tokens);
    double capTokens = account.capTokens(fraction) * (1 + ROUNDING_TOLERANCE);
    monitor.check(!taken || tokens <= capTokens, Invariant.RATE_NOT_EXCEEDED, account.id());
    return taken;
  }

  void refund(long nowMillis, DomainAccount account, long tokens) {
    double fraction = fractions[account.slot()];
    account.refill(nowMillis, period, fraction);
    account.bucket().add(tokens, account.capTokens(fraction));
  }

  void refundDelayed(long nowMillis, DomainAccount account, long tokens) {
    double fraction = fractions[account.slot()];
    account.refill(nowMillis, period, fraction);
    account.bucket().addDelayedRefund(tokens, account.capTokens(fraction));
  }

  /** Returns the time to refill to the given tokens, or the default if they are unreachable. */
  long millisUntil(DomainAccount account, long tokens, long defaultMillis) {
    double fraction = fractions[account.slot()];
    double missingTokens = tokens - account.bucket().levelTokens();
    double tokensPerMilli = account.tokensPerMilli(fraction);
    if (tokens > account.capTokens(fraction) || tokensPerMilli <= 0) {
      return defaultMillis;
    }
    return Math.max(1, (long) Math.ceil(missingTokens / tokensPerMilli));
  }

  /** Removes one owner's tokens from the buckets of a slot, before its fraction is removed. */
  SlotFill removeShare(long nowMillis, int slot, double ownerFraction) {
    double part = fractions[slot] > 0 ? Math.min(1, ownerFraction / fractions[slot]) : 0;
    List<OwnerBalance> ownerBalances = new ArrayList<>();
    for (DomainAccount account : accounts.inSlot(slot)) {
      account.refill(nowMillis, period, fractions[slot]);
      ownerBalances.add(OwnerBalance.split(account, part, account.capTokens(ownerFraction)));
    }
    ownerBalances.sort(
        Comparator.comparing(OwnerBalance::hasInFlightTokens)
            .reversed()
            .thenComparing(OwnerBalance::ratio));
    int inFlightCount =
        (int) ownerBalances.stream().filter(OwnerBalance::hasInFlightTokens).count();
    int listedCount = Math.min(ownerBalances.size(), Math.max(inFlightCount, MAX_LISTED_BALANCES));
    double ratio = listedCount < ownerBalances.size() ? ownerBalances.get(listedCount).ratio() : 0;
    List<SlotFill.Balance> balances =
        ownerBalances.stream().limit(listedCount).map(OwnerBalance::balance).toList();
    return new SlotFill(slot, accounts.confirmedRevision(), Math.min(1, ratio), balances);
  }

  /** Adds one owner's tokens to the buckets of a slot, after its fraction was added. */
  void addShare(long nowMillis, SlotFill fill, double ownerFraction) {
    Map<AccountId, SlotFill.Balance> listed = new HashMap<>();
    fill.balances().forEach(balance -> listed.put(balance.account(), balance));
    boolean sameDocument =
        accounts.isConfirmed() && fill.revision().equals(accounts.confirmedRevision());
    double ratio = sameDocument ? fill.ratio() : 0;
    double fraction = fractions[fill.slot()];
    for (DomainAccount account : accounts.inSlot(fill.slot())) {
      double ownerCapTokens = account.capTokens(ownerFraction);
      SlotFill.Balance unlisted = new SlotFill.Balance(account.id(), ratio * ownerCapTokens, 0);
      SlotFill.Balance balance = listed.getOrDefault(account.id(), unlisted);
      account.refill(nowMillis, period, fraction);
      if (balance.inFlightTokens() > 0) {
        account.bucket().addInFlightTokens(nowMillis, balance.inFlightTokens());
      }
      double tokens = Math.min(balance.tokens(), ownerCapTokens);
      account.bucket().add(tokens, account.capTokens(fraction));
    }
  }

  private void refillAll(long nowMillis) {
    for (DomainAccount account : accounts.all()) {
      account.refill(nowMillis, period, fractions[account.slot()]);
    }
  }

  private void truncateAll() {
    for (DomainAccount account : accounts.all()) {
      account.bucket().truncate(account.capTokens(fractions[account.slot()]));
    }
  }

  /** One owner's tokens in one bucket. */
  private record OwnerBalance(
      AccountId account, double tokens, double inFlightTokens, double ratio) {

    static OwnerBalance split(DomainAccount account, double part, double ownerCapTokens) {
      double tokens = account.bucket().split(part);
      double inFlightTokens = account.bucket().splitInFlight(part);
      double ratio = ownerCapTokens > 0 ? tokens / ownerCapTokens : 0;
      return new OwnerBalance(account.id(), tokens, inFlightTokens, ratio);
    }

    boolean hasInFlightTokens() {
      return inFlightTokens > 0;
    }

    SlotFill.Balance balance() {
      return new SlotFill.Balance(account, tokens, inFlightTokens);
    }
  }
}
