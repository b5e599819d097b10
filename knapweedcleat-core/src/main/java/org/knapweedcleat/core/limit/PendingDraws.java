package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;

/** The draws that this instance has sent and that are unanswered, oldest first. */
final class PendingDraws {

  /** An unanswered draw. */
  record PendingDraw(
      DrawId draw, AccountId account, long tokens, IncarnationId home, long deadlineMillis) {}

  private final Map<DrawId, PendingDraw> pending = new LinkedHashMap<>();

  static PendingDraws empty() {
    return new PendingDraws();
  }

  void add(PendingDraw draw) {
    pending.put(draw.draw(), draw);
  }

  /** Removes and returns a draw, or null if none is pending that was sent to this instance. */
  PendingDraw removeAnswered(DrawId draw, IncarnationId from) {
    PendingDraw found = pending.get(draw);
    if (found == null || !found.home().equals(from)) {
      return null;
    }
    return pending.remove(draw);
  }

  /** Removes and returns the draws whose deadline has passed. */
  List<PendingDraw> removeExpired(long nowMillis) {
    List<PendingDraw> expired = new ArrayList<>();
    Iterator<PendingDraw> oldestFirst = pending.values().iterator();
    while (oldestFirst.hasNext()) {
      PendingDraw oldest = oldestFirst.next();
      if (oldest.deadlineMillis() > nowMillis) {
        break;
      }
      oldestFirst.remove();
      expired.add(oldest);
    }
    return expired;
  }
}
