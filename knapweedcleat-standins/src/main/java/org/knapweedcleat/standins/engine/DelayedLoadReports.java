package org.knapweedcleat.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Delays load reports by a fixed lag. */
final class DelayedLoadReports {

  private final int lagMillis;
  private final Deque<TimedReport> reports = new ArrayDeque<>();

  private DelayedLoadReports(int lagMillis) {
    this.lagMillis = lagMillis;
  }

  static DelayedLoadReports of(int lagMillis) {
    return new DelayedLoadReports(lagMillis);
  }

  void add(long nowMillis, EngineResponses.Load load) {
    reports.addLast(new TimedReport(nowMillis, load));
    while (reports.size() > 1 && secondOldest().atMillis() <= nowMillis - lagMillis) {
      reports.removeFirst();
    }
  }

  EngineResponses.Load visibleReport() {
    return reports.getFirst().load();
  }

  private TimedReport secondOldest() {
    return reports.stream().skip(1).findFirst().orElseThrow();
  }

  private record TimedReport(long atMillis, EngineResponses.Load load) {}
}
