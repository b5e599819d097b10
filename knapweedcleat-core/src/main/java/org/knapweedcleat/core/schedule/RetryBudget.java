package org.knapweedcleat.core.schedule;

/**
 * Bounds the retries of a service to a share of its successes, so that a failure of many endpoints
 * does not multiply the load on the rest.
 */
public final class RetryBudget {

  private final double retriesPerSuccess;
  private final double maxSaved;
  private double saved;

  private RetryBudget(double retriesPerSuccess, double maxSaved) {
    this.retriesPerSuccess = retriesPerSuccess;
    this.maxSaved = maxSaved;
    this.saved = maxSaved;
  }

  /**
   * Returns a full budget.
   *
   * @param retriesPerSuccess what each success earns, at least 0
   * @param maxSaved how many retries can be saved up, at least 1
   * @return the budget
   * @throws IllegalArgumentException if a value is out of its range
   */
  public static RetryBudget of(double retriesPerSuccess, int maxSaved) {
    if (!(retriesPerSuccess >= 0) || maxSaved < 1) {
      throw new IllegalArgumentException("retry budget of " + retriesPerSuccess + ", " + maxSaved);
    }
    return new RetryBudget(retriesPerSuccess, maxSaved);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return true if there was one
   */
  public boolean trySpend() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }

  /** Adds what a success earns. */
  public void onSuccess() {
    saved = Math.min(maxSaved, saved + retriesPerSuccess);
  }
}
