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
final class DrawMemory {

  /** How long a draw is remembered; a copy that comes later only loses tokens. */
  private static final long MEMORY_MILLIS = 1_000;

  /** One draw, answered or cancelled. */
  record Known(
      AccountId account, long tokens, LimitMessage.DrawAnswer answer, long period, long atMillis) {}

  private record Key(IncarnationId from, DrawId draw) {}

  private final Map<Key, Known> draws = new LinkedHashMap<>();
  private final Map<IncarnationId, Long> refundNumbers = new HashMap<>();

  static DrawMemory empty() {
    return new DrawMemory();
  }

  Known find(IncarnationId from, DrawId draw) {
    return draws.get(new Key(from, draw));
  }

  void put(IncarnationId from, DrawId draw, Known known) {
    draws.put(new Key(from, draw), known);
  }

  /** Accepts each refund once; one that was overtaken by a later one is lost. */
  boolean acceptRefund(IncarnationId from, long number) {
    if (number <= refundNumbers.getOrDefault(from, 0L)) {
      return false;
    }
    refundNumbers.put(from, number);
    return true;
  }

  void forget(long nowMillis) {
    Iterator<Known> oldestFirst = draws.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().atMillis() < nowMillis - MEMORY_MILLIS) {
      oldestFirst.remove();
    }
  }
}
