package org.knapweedcleat.core.attempt;

/**
 * Limits the second placements of an instance to a share of its first ones.
 *
 * <p>Without a limit, endpoints that fail under load are sent still more of it.
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
   * Returns a full budget.
   *
   * @param retryPercent the retries allowed for each hundred requests, 0 to 100
   * @param maxSavedRetries the retries that can be saved up, at least 0
   * @return the budget
   * @throws IllegalArgumentException if a number is out of range
   */
  public static PlacementRetryBudget of(int retryPercent, int maxSavedRetries) {
    if (retryPercent < 0 || retryPercent > CREDITS_PER_RETRY || maxSavedRetries < 0) {
      throw new IllegalArgumentException("percent " + retryPercent + ", burst " + maxSavedRetries);
    }
    return new PlacementRetryBudget(retryPercent, maxSavedRetries);
  }

  /** Counts a first placement. */
  public void recordRequest() {
    credits = Math.min(maxCredits, credits + creditsPerRequest);
  }

  /**
   * Takes one retry.
   *
   * @return false if none is left
   */
  public boolean tryAcquire() {
    if (credits < CREDITS_PER_RETRY) {
      return false;
    }
    credits -= CREDITS_PER_RETRY;
    return true;
  }
}
