package org.knapweedcleat.core.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * The draws and refunds that others have asked of this home lately, so that a message that arrives
 * twice has its effect once.
 */
final class DrawHistory {

  /** How long a draw is remembered; a copy that comes later only loses tokens. */
  private static final long RETENTION_MILLIS = 1_000;

  /** One draw, answered or cancelled. */
  record RecordedDraw(
      AccountId account, long tokens, LimitMessage.DrawAnswer answer, long period, long atMillis) {}

  private record Key(IncarnationId from, DrawId draw) {}

  private final Map<Key, RecordedDraw> draws = new LinkedHashMap<>();
  private final Map<IncarnationId, Long> lastRefundNumbers = new HashMap<>();

  static DrawHistory empty() {
    return new DrawHistory();
  }

  RecordedDraw find(IncarnationId from, DrawId draw) {
    return draws.get(new Key(from, draw));
  }

  void put(IncarnationId from, DrawId draw, RecordedDraw recorded) {
    draws.put(new Key(from, draw), recorded);
  }

  /** Accepts each refund once; one that was overtaken by a later one is lost. */
  boolean acceptRefund(IncarnationId from, long number) {
    if (number <= lastRefundNumbers.getOrDefault(from, 0L)) {
      return false;
    }
    lastRefundNumbers.put(from, number);
    return true;
  }

  void prune(long nowMillis) {
    Iterator<RecordedDraw> oldestFirst = draws.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().atMillis() < nowMillis - RETENTION_MILLIS) {
      oldestFirst.remove();
    }
  }
}
