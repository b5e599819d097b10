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
 * fleet fills its bucket by that part, so that both sides of a cut together stay within the rate.
 */
public final class FleetQuota {

  private final double partTolerance;
  private final Map<AccountId, Bucket> buckets = new HashMap<>();
  private final Map<AccountId, Long> spent = new HashMap<>();
  private final Map<String, Map<AccountId, Long>> spentByOthers = new HashMap<>();
  private double heardPart = 1;

  private FleetQuota(double partTolerance) {
    this.partTolerance = partTolerance;
  }

  /**
   * Returns a quota keeper without accounts.
   *
   * @param partTolerance by how much an instance may exceed its part while it hears only a part of
   *     the fleet; 1 for not at all
   * @return the keeper
   */
  public static FleetQuota of(double partTolerance) {
    return new FleetQuota(partTolerance);
  }

  /**
   * Tells how much of the fleet is heard.
   *
   * @param heard the instances that are heard, the own one included
   * @param known all instances that may live
   */
  public void fleet(int heard, int known) {
    heardPart = known <= 0 ? 1 : Math.min(1, partTolerance * heard / known);
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
    bucket.refill(nowMillis, quota, heardPart);
    double needed = Math.min(units, quota.burst());
    if (bucket.level < needed) {
      double rate = Math.max(1, quota.ratePerSecond() * heardPart);
      return Math.max(1, (long) Math.ceil((needed - bucket.level) * 1000 / rate));
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
      bucket.level = Math.min(quota.burst(), bucket.level + units);
      spent.merge(quota.account(), -units, Long::sum);
    }
  }

  /**
   * Takes what another instance has spent since its start.
   *
   * @param run names the other instance's run
   * @param total the units by account
   */
  public void heard(String run, Map<AccountId, Long> total) {
    Map<AccountId, Long> before = spentByOthers.computeIfAbsent(run, one -> new HashMap<>());
    total.forEach(
        (account, units) -> {
          long grown = units - before.getOrDefault(account, 0L);
          before.put(account, units);
          Bucket bucket = buckets.get(account);
          if (bucket != null) {
            bucket.level -= grown;
          }
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

  private Bucket bucket(long nowMillis, AccountQuota quota) {
    return buckets.computeIfAbsent(
        quota.account(), account -> new Bucket(quota.burst(), nowMillis));
  }

  private static final class Bucket {
    private double level;
    private long filledAtMillis;

    Bucket(double level, long filledAtMillis) {
      this.level = level;
      this.filledAtMillis = filledAtMillis;
    }

    void refill(long nowMillis, AccountQuota quota, double part) {
      long passed = Math.max(0, nowMillis - filledAtMillis);
      filledAtMillis = Math.max(filledAtMillis, nowMillis);
      double filled = level + passed * quota.ratePerSecond() * part / 1000;
      level = Math.min(quota.burst(), filled);
    }
  }
}
