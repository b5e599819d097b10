package org.knapweedcleat.core.schedule;

/**
 * Bounds the retries of a service to a share of its successes, so that a failure of many endpoints
 * does not multiply the load on the rest.
 */
public final class RetryBudget {

  private final double retriesPerSuccess;
  private final double maxRetries;
  private double availableRetries;

  private RetryBudget(double retriesPerSuccess, double maxRetries) {
    this.retriesPerSuccess = retriesPerSuccess;
    this.maxRetries = maxRetries;
    this.availableRetries = maxRetries;
  }

  /**
   * Returns a full budget.
   *
   * @param retriesPerSuccess what each success earns, at least 0
   * @param maxRetries how many retries can be saved up, at least 1
   * @return the budget
   * @throws IllegalArgumentException if a value is out of its range
   */
  public static RetryBudget of(double retriesPerSuccess, int maxRetries) {
    if (!(retriesPerSuccess >= 0) || maxRetries < 1) {
      throw new IllegalArgumentException("retry budget of " + retriesPerSuccess + ", " + maxRetries);
    }
    return new RetryBudget(retriesPerSuccess, maxRetries);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return true if there was one
   */
  public boolean trySpend() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }

  /** Adds what a success earns. */
  public void recordSuccess() {
    availableRetries = Math.min(maxRetries, availableRetries + retriesPerSuccess);
  }
}
