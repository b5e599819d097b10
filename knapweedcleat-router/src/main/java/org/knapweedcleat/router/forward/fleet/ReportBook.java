package org.knapweedcleat.router.forward.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;

/** The latest report of each other instance, which may come by several ways. */
final class ReportBook {

  /** How many ended runs are remembered, so that a late report brings none back. */
  private static final int MAX_ENDED = 1_000;

  private final Map<IncarnationId, Kept> latest = new HashMap<>();
  private final Map<IncarnationId, Boolean> ended =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<IncarnationId, Boolean> eldest) {
          return size() > MAX_ENDED;
        }
      };

  private record Kept(MemberReport report, long atMillis) {}

  /** Takes a report; returns false if a newer one is known or the run has ended. */
  boolean take(long nowMillis, MemberReport report) {
    IncarnationId run = report.member().incarnation();
    Kept before = latest.get(run);
    boolean old = before != null && before.report().number() >= report.number();
    if (old || ended.containsKey(run)) {
      return false;
    }
    latest.put(run, new Kept(report, nowMillis));
    return true;
  }

  /** Returns the latest reports of instances, to be passed on. */
  List<MemberReport> of(long nowMillis, List<FleetMember> members) {
    List<MemberReport> reports = new ArrayList<>();
    for (FleetMember member : members) {
      Kept kept = latest.get(member.incarnation());
      if (kept != null) {
        reports.add(kept.report().agedBy(nowMillis - kept.atMillis()));
      }
    }
    return reports;
  }

  void ended(IncarnationId run) {
    latest.remove(run);
    ended.put(run, true);
  }
}
