package org.knapweedcleat.core.locality;

import java.util.OptionalLong;
import org.knapweedcleat.core.id.FailureDomainId;

/**
 * A failure domain that could serve a call instead of the call's home domain.
 *
 * @param domain the failure domain
 * @param waitMillis how long the call would wait there; infinite if it has no capacity for the call
 * @param delayMillis the network delay that the distance adds
 * @param priceMillis the wait that is accepted for not sending a call there
 * @param isOtherRegion whether it belongs to another region than the home domain
 * @param reportAgeMillis the age of the reports on its load; empty if there are none
 */
public record RemoteDomain(
    FailureDomainId domain,
    double waitMillis,
    double delayMillis,
    double priceMillis,
    boolean isOtherRegion,
    OptionalLong reportAgeMillis) {

  /** Returns whether its load is known from reports that have not expired. */
  boolean isKnown(long reportLifetimeMillis) {
    return reportAgeMillis.isPresent() && reportAgeMillis.getAsLong() <= reportLifetimeMillis;
  }

  /** Returns whether it has capacity, as far as known. */
  boolean hasCapacity() {
    return Double.isFinite(waitMillis);
  }

  /** Returns the time that the call would save, as a multiple of the price of leaving. */
  double gainRatio(double homeWaitMillis) {
    return (homeWaitMillis - waitMillis - delayMillis) / priceMillis;
  }
}
