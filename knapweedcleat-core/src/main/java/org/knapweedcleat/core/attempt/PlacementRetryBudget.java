package org.knapweedcleat.core.attempt;

/**
 * Limits repeated placements of requests by an instance to a percentage of its first placements.
 *
 * <p>Unlimited retries would add load to endpoints that already fail because of overload.
 */
public final class PlacementRetryBudget {

  private static final int CREDITS_PER_RETRY = 100;

  private final int creditsPerRequest;
  private final int maxCredits;
  private int credits;

  private PlacementRetryBudget(int retryPercent, int maxSavedRetries) {
    this.creditsPerRequest = retryPercent;
    this.maxCredits = maxSavedRetries * CREDITS_PER_RETRY;
    this.credits = maxCredits;
  }

  /**
   * Creates a budget that starts with all its retries available.
   *
   * @param retryPercent the retries allowed per hundred requests, 0 to 100
   * @param maxSavedRetries the maximum number of unused retries that accumulate, at least 0
   * @return the budget
   * @throws IllegalArgumentException if an argument is out of range
   */
  public static PlacementRetryBudget of(int retryPercent, int maxSavedRetries) {
    if (retryPercent < 0 || retryPercent > CREDITS_PER_RETRY || maxSavedRetries < 0) {
      throw new IllegalArgumentException(
          "retry percent " + retryPercent + ", max saved retries " + maxSavedRetries);
    }
    return new PlacementRetryBudget(retryPercent, maxSavedRetries);
  }

  /** Records the first placement of a request, which adds to the budget. */
  public void recordRequest() {
    credits = Math.min(maxCredits, credits + creditsPerRequest);
  }

  /**
   * Consumes one retry if available.
   *
   * @return false if the budget is exhausted
   */
  public boolean tryAcquire() {
    if (credits < CREDITS_PER_RETRY) {
      return false;
    }
    credits -= CREDITS_PER_RETRY;
    return true;
  }
}
