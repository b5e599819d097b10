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
public final class FleetQuota {

  private static final double SECOND_MILLIS = 1_000;

  private final QuotaTolerance tolerance;
  private final Map<AccountId, Bucket> buckets = new HashMap<>();
  private final Map<AccountId, Bucket> owed = new HashMap<>();
  private final Map<AccountId, Long> spent = new HashMap<>();
  private final Map<String, Map<AccountId, Long>> spentByOthers = new HashMap<>();
  private double heardPart = 1;

  private FleetQuota(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Returns a quota keeper without accounts.
   *
   * @param tolerance by how much a quota may be exceeded
   * @return the keeper
   */
  public static FleetQuota of(QuotaTolerance tolerance) {
    return new FleetQuota(tolerance);
  }

  /**
   * Tells how much of the fleet is heard.
   *
   * @param heard the instances that are heard, the own one included
   * @param known all instances that may live
   */
  public void fleet(int heard, int known) {
    heardPart = known <= 0 ? 1 : Math.min(1, tolerance.partFactor() * heard / known);
  }

  /**
   * Takes units for a call.
   *
   * @param nowMillis the time
   * @param quota the account's quota
   * @param units what the call counts
   * @return 0 if the units were taken, or the milliseconds after which they may be there
   */
  public long take(long nowMillis, AccountQuota quota, long units) {
    if (!quota.isLimited()) {
      return 0;
    }
    Bucket bucket = bucket(nowMillis, quota);
    double rate = quota.ratePerSecond() * tolerance.rateFactor() * heardPart;
    bucket.refill(nowMillis, rate, capacity(quota));
    double needed = Math.min(units, capacity(quota));
    if (bucket.level < needed) {
      return Math.max(
          1, (long) Math.ceil((needed - bucket.level) * SECOND_MILLIS / Math.max(1, rate)));
    }
    bucket.level -= units;
    spent.merge(quota.account(), units, Long::sum);
    return 0;
  }

  /**
   * Gives units back for a call that did not run.
   *
   * @param quota the account's quota
   * @param units what was taken
   */
  public void giveBack(AccountQuota quota, long units) {
    Bucket bucket = buckets.get(quota.account());
    if (quota.isLimited() && bucket != null) {
      bucket.level = Math.min(capacity(quota), bucket.level + units);
      spent.merge(quota.account(), -units, Long::sum);
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
  public void heard(long nowMillis, String run, boolean isYounger, Map<AccountId, Long> total) {
    boolean first = !spentByOthers.containsKey(run);
    Map<AccountId, Long> before = spentByOthers.computeIfAbsent(run, one -> new HashMap<>());
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
  public void ended(String run) {
    spentByOthers.remove(run);
  }

  /**
   * Returns what this instance has spent since its start.
   *
   * @return the units by account
   */
  public Map<AccountId, Long> spent() {
    return Map.copyOf(spent);
  }

  /** Takes units out of the bucket, or keeps them in mind until the account is first asked for. */
  private void charge(long nowMillis, AccountId account, long units) {
    Bucket bucket = buckets.get(account);
    if (bucket != null) {
      bucket.level -= units;
    } else if (units != 0) {
      owed.computeIfAbsent(account, one -> new Bucket(0, nowMillis)).level -= units;
    }
  }

  private double capacity(AccountQuota quota) {
    return (quota.burst() + tolerance.units()) * heardPart;
  }

  private Bucket bucket(long nowMillis, AccountQuota quota) {
    return buckets.computeIfAbsent(
        quota.account(),
        account -> {
          Bucket full = new Bucket(0, nowMillis);
          Bucket debt = owed.remove(account);
          full.level = capacity(quota) + (debt == null ? 0 : debt.level);
          full.filledAtMillis = debt == null ? nowMillis : debt.filledAtMillis;
          return full;
        });
  }

  private static final class Bucket {
    private double level;
    private long filledAtMillis;

    Bucket(double level, long filledAtMillis) {
      this.level = level;
      this.filledAtMillis = filledAtMillis;
    }

    void refill(long nowMillis, double ratePerSecond, double capacity) {
      long passed = Math.max(0, nowMillis - filledAtMillis);
      filledAtMillis = Math.max(filledAtMillis, nowMillis);
      level = Math.min(capacity, level + passed * ratePerSecond / SECOND_MILLIS);
    }
  }
}
