package org.knapweedcleat.core.attempt;

/**
 * Limits the second placements of an instance to a share of its first ones.
 *
 * <p>Without a limit, endpoints that fail under load are sent still more of it.
 */
public final class AttemptBudget {

  private static final int COST = 100;

  private final int earnedPerRequest;
  private final int most;
  private int saved;

  private AttemptBudget(int percent, int burst) {
    this.earnedPerRequest = percent;
    this.most = burst * COST;
    this.saved = most;
  }

  /**
   * Returns a full budget.
   *
   * @param percent the retries allowed for each hundred requests, 0 to 100
   * @param burst the retries that can be saved up, at least 0
   * @return the budget
   * @throws IllegalArgumentException if a number is out of range
   */
  public static AttemptBudget of(int percent, int burst) {
    if (percent < 0 || percent > COST || burst < 0) {
      throw new IllegalArgumentException("percent " + percent + ", burst " + burst);
    }
    return new AttemptBudget(percent, burst);
  }

  /** Counts a first placement. */
  public void earn() {
    saved = Math.min(most, saved + earnedPerRequest);
  }

  /**
   * Takes one retry.
   *
   * @return false if none is left
   */
  public boolean tryTake() {
    if (saved < COST) {
      return false;
    }
    saved -= COST;
    return true;
  }
}
