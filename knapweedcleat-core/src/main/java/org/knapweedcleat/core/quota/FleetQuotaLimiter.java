package org.knapweedcleat.core.quota;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.id.AccountId;

/**
 * One bucket an account and instance, out of which the spending of all instances is taken.
 *
 * <p>Each instance tells the others how much it has spent since its start. What others spent is
 * taken out when it becomes known, so the fleet can overspend by what flows during the delay of
 * these messages; the quota's tolerance covers that. An instance that hears only a part of the
 * fleet has that part of the bucket, so that both sides of a cut together stay within the quota.
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
   * Returns a quota keeper without accounts.
   *
   * @param tolerance by how much a quota may be exceeded
   * @return the keeper
   */
  public static FleetQuotaLimiter of(QuotaTolerance tolerance) {
    return new FleetQuotaLimiter(tolerance);
  }

  /**
   * Tells how much of the fleet is heard.
   *
   * @param heard the instances that are heard, the own one included
   * @param known all instances that may live
   */
  public void updateVisibility(int heard, int known) {
    visibleFraction = known <= 0 ? 1 : Math.min(1, tolerance.partitionFactor() * heard / known);
  }

  /**
   * Takes units for a call.
   *
   * @param nowMillis the time
   * @param quota the account's quota
   * @param units what the call counts
   * @return 0 if the units were taken, or the milliseconds after which they may be there
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
   * Gives units back for a call that did not run.
   *
   * @param quota the account's quota
   * @param units what was taken
   */
  public void refund(AccountQuota quota, long units) {
    Bucket bucket = buckets.get(quota.account());
    if (quota.isLimited() && bucket != null) {
      bucket.level = Math.min(capacity(quota), bucket.level + units);
      localSpending.merge(quota.account(), -units, Long::sum);
    }
  }

  /**
   * Takes what another instance has spent since its start.
   *
   * @param nowMillis the time
   * @param run names the other instance's run
   * @param isYounger whether that run began after the own one, so that all it spent counts; else
   *     only what it spends from the first message on
   * @param total the units by account
   */
  public void recordRemoteSpending(long nowMillis, String run, boolean isYounger, Map<AccountId, Long> total) {
    boolean first = !remoteSpending.containsKey(run);
    Map<AccountId, Long> before = remoteSpending.computeIfAbsent(run, one -> new HashMap<>());
    total.forEach(
        (account, units) -> {
          long known = first && !isYounger ? units : before.getOrDefault(account, 0L);
          before.put(account, units);
          charge(nowMillis, account, units - known);
        });
  }

  /**
   * Forgets an instance's run that has ended.
   *
   * @param run names the run
   */
  public void forget(String run) {
    remoteSpending.remove(run);
  }

  /**
   * Returns what this instance has spent since its start.
   *
   * @return the units by account
   */
  public Map<AccountId, Long> localSpending() {
    return Map.copyOf(localSpending);
  }

  /** Takes units out of the bucket, or keeps them in mind until the account is first asked for. */
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
          Bucket full = new Bucket(0, nowMillis);
          Bucket debt = pendingCharges.remove(account);
          full.level = capacity(quota) + (debt == null ? 0 : debt.level);
          full.refilledAtMillis = debt == null ? nowMillis : debt.refilledAtMillis;
          return full;
        });
  }

  private static final class Bucket {
    private double level;
    private long refilledAtMillis;

    Bucket(double level, long filledAtMillis) {
      this.level = level;
      this.refilledAtMillis = filledAtMillis;
    }

    void refill(long nowMillis, double ratePerSecond, double capacity) {
      long passed = Math.max(0, nowMillis - refilledAtMillis);
      refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
      level = Math.min(capacity, level + passed * ratePerSecond / MILLIS_PER_SECOND);
    }
  }
}
