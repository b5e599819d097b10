package org.knapweedcleat.router.forward.fleet;

import java.util.Map;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.fleet.FleetMember;

/**
 * Quota spending and endpoint load of one instance, sent by itself or by a representative.
 *
 * @param member the instance
 * @param sequenceNumber increases with each report of an incarnation, so that outdated ones are
 *     detected
 * @param ageMillis the age of the report
 * @param spentUnits the units that the instance has spent per account since its start
 * @param work the instance's load per endpoint
 */
public record MemberReport(
    FleetMember member,
    long sequenceNumber,
    long ageMillis,
    Map<String, Long> spentUnits,
    Map<String, EndpointWorkload> work) {

  MemberReport withAgeIncreasedBy(long millis) {
    return new MemberReport(member, sequenceNumber, ageMillis + millis, spentUnits, work);
  }
}
