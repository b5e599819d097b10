package org.knapweedcleat.router.forward.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;

/** Latest report of each other instance; a report may arrive over several paths. */
final class MemberReportCache {

  /** Ended incarnations to remember, so that a late report does not restore one. */
  private static final int MAX_ENDED_INCARNATIONS = 1_000;

  private final Map<IncarnationId, Entry> latest = new HashMap<>();
  private final Map<IncarnationId, Boolean> endedIncarnations =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<IncarnationId, Boolean> eldest) {
          return size() > MAX_ENDED_INCARNATIONS;
        }
      };

  private record Entry(MemberReport report, long receivedAtMillis) {}

  /** Stores a report; returns false if it is outdated or its incarnation has ended. */
  boolean add(long nowMillis, MemberReport report) {
    IncarnationId incarnation = report.member().incarnation();
    Entry previous = latest.get(incarnation);
    boolean outdated =
        previous != null && previous.report().sequenceNumber() >= report.sequenceNumber();
    if (outdated || endedIncarnations.containsKey(incarnation)) {
      return false;
    }
    latest.put(incarnation, new Entry(report, nowMillis));
    return true;
  }

  /** Returns the latest reports of the given members, with their current age. */
  List<MemberReport> latestOf(long nowMillis, List<FleetMember> members) {
    List<MemberReport> reports = new ArrayList<>();
    for (FleetMember member : members) {
      Entry entry = latest.get(member.incarnation());
      if (entry != null) {
        reports.add(entry.report().withAgeIncreasedBy(nowMillis - entry.receivedAtMillis()));
      }
    }
    return reports;
  }

  void removeEnded(IncarnationId incarnation) {
    latest.remove(incarnation);
    endedIncarnations.put(incarnation, true);
  }
}
