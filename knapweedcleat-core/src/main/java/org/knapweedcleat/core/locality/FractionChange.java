package org.knapweedcleat.core.locality;

import java.util.OptionalLong;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * A change of the fraction of calls that may leave a home domain, with the inputs that caused it.
 *
 * @param service the service
 * @param home the home domain
 * @param previous the fraction before
 * @param fraction the fraction from now on
 * @param homeWaitMillis the wait in the home domain; infinite if it has no capacity
 * @param elsewhereMillis the shortest wait elsewhere with its delay; infinite if none is known
 * @param reportAgeMillis the age of the oldest report used
 */
public record FractionChange(
    ServiceId service,
    FailureDomainId home,
    double previous,
    double fraction,
    double homeWaitMillis,
    double elsewhereMillis,
    OptionalLong reportAgeMillis) {}
