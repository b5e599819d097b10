package org.knapweedcleat.core.balance;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Whether an endpoint may take a call now.
 *
 * @param reason why not; empty if it may
 * @param opensInMillis the time until it may, 0 if it may now; empty if that is unknown
 */
public record Eligibility(Optional<IneligibilityReason> reason, OptionalLong opensInMillis) {

  /** The endpoint may take the call. */
  public static final Eligibility ELIGIBLE = new Eligibility(Optional.empty(), OptionalLong.of(0));

  /**
   * Returns the verdict on an endpoint that may not take the call, for an unknown time.
   *
   * @param reason the reason
   * @return the verdict
   */
  public static Eligibility not(IneligibilityReason reason) {
    return new Eligibility(Optional.of(reason), OptionalLong.empty());
  }

  /**
   * Returns the verdict on an endpoint that may take the call later.
   *
   * @param reason the reason
   * @param opensInMillis the time until it may
   * @return the verdict
   */
  public static Eligibility notYet(IneligibilityReason reason, long opensInMillis) {
    return new Eligibility(Optional.of(reason), OptionalLong.of(opensInMillis));
  }

  /**
   * Returns whether the endpoint may take the call now.
   *
   * @return true if there is no reason against it
   */
  public boolean isEligible() {
    return reason.isEmpty();
  }
}
