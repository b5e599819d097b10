package org.knapweedcleat.core.throttle;

/**
 * Whether a request may be sent to an endpoint with a rate limit.
 *
 * @param granted whether it may be sent
 * @param delayMillis when it may be sent; if it was denied, how long until the next one may be
 */
public record PermitDecision(boolean granted, long delayMillis) {

  /** The request may be sent at once. */
  public static final PermitDecision IMMEDIATE = granted(0);

  /**
   * Returns a grant.
   *
   * @param delayMillis when the request may be sent, at least 0
   * @return the decision
   */
  public static PermitDecision granted(long delayMillis) {
    return new PermitDecision(true, delayMillis);
  }

  /**
   * Returns a denial.
   *
   * @param delayMillis how long until another request may be sent, at least 1
   * @return the decision
   */
  public static PermitDecision denied(long delayMillis) {
    return new PermitDecision(false, delayMillis);
  }
}
