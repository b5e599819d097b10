package org.knapweedcleat.core.schedule;

/**
 * Limits the retries of a service to a fraction of its successes, so that the failure of many
 * endpoints does not multiply the load on the remaining ones.
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
   * @param retriesPerSuccess the retries added by each success, at least 0
   * @param maxRetries the most retries that can accumulate, at least 1
   * @return the budget
   * @throws IllegalArgumentException if a value is out of range
   */
  public static RetryBudget of(double retriesPerSuccess, int maxRetries) {
    if (!(retriesPerSuccess >= 0) || maxRetries < 1) {
      throw new IllegalArgumentException(
          "invalid retry budget: " + retriesPerSuccess + ", " + maxRetries);
    }
    return new RetryBudget(retriesPerSuccess, maxRetries);
  }

  /**
   * Takes one retry from the budget if available.
   *
   * @return true if a retry was taken
   */
  public boolean trySpend() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }

  /** Adds the retries that one success allows. */
  public void recordSuccess() {
    availableRetries = Math.min(maxRetries, availableRetries + retriesPerSuccess);
  }
}
