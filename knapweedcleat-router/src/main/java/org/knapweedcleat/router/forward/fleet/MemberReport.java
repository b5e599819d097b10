package org.knapweedcleat.router.forward.fleet;

import java.util.Map;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.fleet.FleetMember;

/**
 * What one instance does, told by itself or passed on by a representative.
 *
 * @param member the instance
 * @param number rises with each report of its run, so that an older one is known as such
 * @param ageMillis how old the report is
 * @param spent the units that the instance has spent of each account since its start
 * @param work the instance's work at each endpoint
 */
public record MemberReport(
    FleetMember member,
    long number,
    long ageMillis,
    Map<String, Long> spent,
    Map<String, EndpointWorkload> work) {

  MemberReport agedBy(long millis) {
    return new MemberReport(member, number, ageMillis + millis, spent, work);
  }
}
