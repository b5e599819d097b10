package org.knapweedcleat.core.limit;

/** Why tokens are denied. */
public enum DenialReason {
  /** The client account has used up its rate and burst, as far as they are at hand. */
  OVER_RATE(true),
  /** The request is larger than the burst of the failure domain; asking again does not help. */
  OVER_BURST(false),
  /** The document in force has no such client account. */
  UNKNOWN_ACCOUNT(false),
  /** The instance that keeps the account's tokens did not answer in time. */
  HOME_UNREACHABLE(true),
  /** No share of the account has been handed to this failure domain's instances yet. */
  NO_SHARE(true);

  private final boolean retryable;

  DenialReason(boolean retryable) {
    this.retryable = retryable;
  }

  /**
   * Tells whether asking again for the same tokens may succeed.
   *
   * @return true if it may
   */
  public boolean isRetryable() {
    return retryable;
  }
}
