package org.knapweedcleat.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps load reports until they are as old as the engine's lag. */
final class LoadReports {

  private final int lagMillis;
  private final Deque<Taken> reports = new ArrayDeque<>();

  private LoadReports(int lagMillis) {
    this.lagMillis = lagMillis;
  }

  static LoadReports of(int lagMillis) {
    return new LoadReports(lagMillis);
  }

  void add(long nowMillis, Replies.Load load) {
    reports.addLast(new Taken(nowMillis, load));
    while (reports.size() > 1 && second().atMillis() <= nowMillis - lagMillis) {
      reports.removeFirst();
    }
  }

  Replies.Load oldest() {
    return reports.getFirst().load();
  }

  private Taken second() {
    return reports.stream().skip(1).findFirst().orElseThrow();
  }

  private record Taken(long atMillis, Replies.Load load) {}
}
