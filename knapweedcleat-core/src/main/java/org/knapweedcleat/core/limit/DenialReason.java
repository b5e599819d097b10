package org.knapweedcleat.core.limit;

/** Why an acquisition of tokens is denied. */
public enum DenialReason {
  /** The client account has exhausted the part of its rate and burst that is available here. */
  OVER_RATE(true),
  /** The request exceeds the failure domain's burst, so a retry cannot succeed. */
  OVER_BURST(false),
  /** The current document does not contain the client account. */
  UNKNOWN_ACCOUNT(false),
  /** The home instance of the account did not answer in time. */
  HOME_UNREACHABLE(true),
  /** The instance that was asked holds no share of the account yet. */
  NO_SHARE(true);

  private final boolean retryable;

  DenialReason(boolean retryable) {
    this.retryable = retryable;
  }

  /**
   * Returns whether a retry for the same tokens may succeed.
   *
   * @return true if a retry may succeed
   */
  public boolean isRetryable() {
    return retryable;
  }
}
