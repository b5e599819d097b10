package org.knapweedcleat.core.quota;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.id.AccountId;

/**
 * Limits client accounts to their fleet-wide quotas, with one token bucket per account on each
 * instance that is charged for the spending of all instances.
 *
 * <p>Each instance reports its total spending since its start to the others. Remote spending is
 * charged when it becomes known, so the fleet can overspend by what is spent while these reports
 * are on the way; the quota's tolerance covers that. An instance that sees only a part of the fleet
 * uses the corresponding fraction of the bucket, so that both sides of a network partition together
 * stay within the quota.
 */
public final class FleetQuotaLimiter {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final QuotaTolerance tolerance;
  private final Map<AccountId, Bucket> buckets = new HashMap<>();
  private final Map<AccountId, Bucket> pendingCharges = new HashMap<>();
  private final Map<AccountId, Long> localSpending = new HashMap<>();
  private final Map<String, Map<AccountId, Long>> remoteSpending = new HashMap<>();
  private double visibleFraction = 1;

  private FleetQuotaLimiter(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Returns a limiter without accounts.
   *
   * @param tolerance the tolerance by which quotas may be exceeded
   * @return the limiter
   */
  public static FleetQuotaLimiter of(QuotaTolerance tolerance) {
    return new FleetQuotaLimiter(tolerance);
  }

  /**
   * Updates how much of the fleet this instance sees.
   *
   * @param visible the number of live instances, including this one
   * @param known the number of all instances that may be alive
   */
  public void updateVisibility(int visible, int known) {
    visibleFraction = known <= 0 ? 1 : Math.min(1, tolerance.partitionFactor() * visible / known);
  }

  /**
   * Charges a call to its account if the quota allows it.
   *
   * @param nowMillis the current time
   * @param quota the quota of the account
   * @param units the units to charge
   * @return 0 if the units were charged, otherwise the milliseconds after which they may be
   *     available
   */
  public long acquire(long nowMillis, AccountQuota quota, long units) {
    if (!quota.isLimited()) {
      return 0;
    }
    Bucket bucket = bucketOf(nowMillis, quota);
    double rate = quota.ratePerSecond() * tolerance.rateFactor() * visibleFraction;
    bucket.refill(nowMillis, rate, capacity(quota));
    double needed = Math.min(units, capacity(quota));
    if (bucket.level < needed) {
      return Math.max(
          1, (long) Math.ceil((needed - bucket.level) * MILLIS_PER_SECOND / Math.max(1, rate)));
    }
    bucket.level -= units;
    localSpending.merge(quota.account(), units, Long::sum);
    return 0;
  }

  /**
   * Refunds the units of a call that did not run.
   *
   * @param quota the quota of the account
   * @param units the units that were charged
   */
  public void refund(AccountQuota quota, long units) {
    Bucket bucket = buckets.get(quota.account());
    if (quota.isLimited() && bucket != null) {
      bucket.level = Math.min(capacity(quota), bucket.level + units);
      localSpending.merge(quota.account(), -units, Long::sum);
    }
  }

  /**
   * Charges what another instance has spent since its last report.
   *
   * @param nowMillis the current time
   * @param incarnation the name of the other instance's incarnation
   * @param startedLater whether that incarnation started after the local one, so that all its
   *     spending counts; otherwise only spending after its first report does
   * @param total the units that it has spent since its start, by account
   */
  public void recordRemoteSpending(
      long nowMillis, String incarnation, boolean startedLater, Map<AccountId, Long> total) {
    boolean first = !remoteSpending.containsKey(incarnation);
    Map<AccountId, Long> previous =
        remoteSpending.computeIfAbsent(incarnation, one -> new HashMap<>());
    total.forEach(
        (account, units) -> {
          long known = first && !startedLater ? units : previous.getOrDefault(account, 0L);
          previous.put(account, units);
          charge(nowMillis, account, units - known);
        });
  }

  /**
   * Removes an incarnation that has ended.
   *
   * @param incarnation the name of the incarnation
   */
  public void forget(String incarnation) {
    remoteSpending.remove(incarnation);
  }

  /**
   * Returns what this instance has spent since its start.
   *
   * @return the units by account
   */
  public Map<AccountId, Long> localSpending() {
    return Map.copyOf(localSpending);
  }

  /** Charges units to the bucket, or keeps them pending until the account is first used here. */
  private void charge(long nowMillis, AccountId account, long units) {
    Bucket bucket = buckets.get(account);
    if (bucket != null) {
      bucket.level -= units;
    } else if (units != 0) {
      pendingCharges.computeIfAbsent(account, one -> new Bucket(0, nowMillis)).level -= units;
    }
  }

  private double capacity(AccountQuota quota) {
    return (quota.burst() + tolerance.extraUnits()) * visibleFraction;
  }

  private Bucket bucketOf(long nowMillis, AccountQuota quota) {
    return buckets.computeIfAbsent(
        quota.account(),
        account -> {
          Bucket created = new Bucket(0, nowMillis);
          Bucket pending = pendingCharges.remove(account);
          created.level = capacity(quota) + (pending == null ? 0 : pending.level);
          created.refilledAtMillis = pending == null ? nowMillis : pending.refilledAtMillis;
          return created;
        });
  }

  private static final class Bucket {
    private double level;
    private long refilledAtMillis;

    Bucket(double level, long refilledAtMillis) {
      this.level = level;
      this.refilledAtMillis = refilledAtMillis;
    }

    void refill(long nowMillis, double ratePerSecond, double capacity) {
      long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
      refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
      level = Math.min(capacity, level + elapsedMillis * ratePerSecond / MILLIS_PER_SECOND);
    }
  }
}
