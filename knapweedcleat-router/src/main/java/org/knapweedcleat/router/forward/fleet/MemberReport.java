package org.knapweedcleat.router.forward.fleet;

import java.util.Map;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.fleet.FleetMember;

/**
 * What one instance does, told by itself or passed on by a representative.
 *
 * @param member the instance
 * @param sequenceNumber rises with each report of its run, so that an older one is known as such
 * @param ageMillis how old the report is
 * @param spentUnits the units that the instance has spent of each account since its start
 * @param work the instance's work at each endpoint
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
