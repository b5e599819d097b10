package org.knapweedcleat.router.forward.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;

/** The latest report of each other instance, which may come by several ways. */
final class MemberReportCache {

  /** How many ended runs are remembered, so that a late report brings none back. */
  private static final int MAX_ENDED_RUNS = 1_000;

  private final Map<IncarnationId, Entry> latest = new HashMap<>();
  private final Map<IncarnationId, Boolean> endedRuns =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<IncarnationId, Boolean> eldest) {
          return size() > MAX_ENDED_RUNS;
        }
      };

  private record Entry(MemberReport report, long receivedAtMillis) {}

  /** Takes a report; returns false if a newer one is known or the run has ended. */
  boolean add(long nowMillis, MemberReport report) {
    IncarnationId run = report.member().incarnation();
    Entry before = latest.get(run);
    boolean old = before != null && before.report().sequenceNumber() >= report.sequenceNumber();
    if (old || endedRuns.containsKey(run)) {
      return false;
    }
    latest.put(run, new Entry(report, nowMillis));
    return true;
  }

  /** Returns the latest reports of instances, to be passed on. */
  List<MemberReport> latestOf(long nowMillis, List<FleetMember> members) {
    List<MemberReport> reports = new ArrayList<>();
    for (FleetMember member : members) {
      Entry kept = latest.get(member.incarnation());
      if (kept != null) {
        reports.add(kept.report().withAgeIncreasedBy(nowMillis - kept.receivedAtMillis()));
      }
    }
    return reports;
  }

  void removeEnded(IncarnationId run) {
    latest.remove(run);
    endedRuns.put(run, true);
  }
}
