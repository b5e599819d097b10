package org.knapweedcleat.core.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * The recent draws and refunds that other instances requested from this home, so that a duplicate
 * message takes effect only once.
 */
final class DrawHistory {

  /** How long a draw is kept; a duplicate that arrives later only wastes tokens. */
  private static final long RETENTION_MILLIS = 1_000;

  /** A draw that was answered or cancelled. */
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

  /** Accepts each refund once; a refund that arrives after a later one is dropped. */
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
