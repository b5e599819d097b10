package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;

/** The draws that this instance has sent and that are not answered yet, oldest first. */
final class PendingDraws {

  /** One draw that is under way. */
  record Pending(
      DrawId draw, AccountId account, long tokens, IncarnationId home, long deadlineMillis) {}

  private final Map<DrawId, Pending> pending = new LinkedHashMap<>();

  static PendingDraws empty() {
    return new PendingDraws();
  }

  void add(Pending draw) {
    pending.put(draw.draw(), draw);
  }

  /** Removes and returns a draw; null if it is unknown, over, or was sent to somebody else. */
  Pending answered(DrawId draw, IncarnationId from) {
    Pending found = pending.get(draw);
    if (found == null || !found.home().equals(from)) {
      return null;
    }
    return pending.remove(draw);
  }

  /** Removes and returns the draws whose deadline has come. */
  List<Pending> expire(long nowMillis) {
    List<Pending> expired = new ArrayList<>();
    Iterator<Pending> oldestFirst = pending.values().iterator();
    while (oldestFirst.hasNext()) {
      Pending oldest = oldestFirst.next();
      if (oldest.deadlineMillis() > nowMillis) {
        break;
      }
      oldestFirst.remove();
      expired.add(oldest);
    }
    return expired;
  }
}
