package org.knapweedcleat.core.schedule;

import java.util.Comparator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.knapweedcleat.core.id.AccountId;

/** The waiting requests of one client account and the tokens that it was served. */
final class AccountQueue {

  /** The least served account comes first. */
  static final Comparator<AccountQueue> LEAST_SERVED =
      Comparator.comparingDouble(AccountQueue::served).thenComparing(AccountQueue::account);

  private static final Comparator<QueuedRequest> BY_URGENCY_THEN_AGE =
      Comparator.comparing((QueuedRequest waiting) -> !waiting.isUrgent())
          .thenComparingLong(QueuedRequest::submittedMillis)
          .thenComparing(waiting -> waiting.request().request())
          .thenComparingInt(waiting -> waiting.request().attempt());

  private final AccountId account;
  private final NavigableMap<QueueLane, NavigableSet<QueuedRequest>> lanes = new TreeMap<>();
  private int weight = 1;
  private double served;
  private int size;

  private AccountQueue(AccountId account) {
    this.account = account;
  }

  static AccountQueue of(AccountId account) {
    return new AccountQueue(account);
  }

  AccountId account() {
    return account;
  }

  /** Returns the priced tokens served so far, divided by the weight. */
  double served() {
    return served;
  }

  int weight() {
    return weight;
  }

  int size() {
    return size;
  }

  /** Sums what waits in the lanes up to the given one, in the last perhaps only what is urgent. */
  QueuedWork workUpTo(QueueLane last, boolean urgentOnly) {
    QueuedWork sum = QueuedWork.NONE;
    for (Map.Entry<QueueLane, NavigableSet<QueuedRequest>> lane : lanes.headMap(last, true).entrySet()) {
      for (QueuedRequest request : lane.getValue()) {
        if (urgentOnly && lane.getKey().equals(last) && !request.isUrgent()) {
          break;
        }
        sum = sum.plus(request);
      }
    }
    return sum;
  }

  Set<QueueLane> lanes() {
    return lanes.keySet();
  }

  QueuedRequest first(QueueLane lane) {
    return lanes.get(lane).first();
  }

  void add(QueuedRequest waiting) {
    weight = waiting.weight();
    lanes.computeIfAbsent(waiting.lane(), lane -> new TreeSet<>(BY_URGENCY_THEN_AGE)).add(waiting);
    size++;
  }

  void remove(QueuedRequest waiting) {
    NavigableSet<QueuedRequest> laneRequests = lanes.get(waiting.lane());
    if (laneRequests == null || !laneRequests.remove(waiting)) {
      return;
    }
    if (laneRequests.isEmpty()) {
      lanes.remove(waiting.lane());
    }
    size--;
  }

  void raiseServedTo(double minimum) {
    served = Math.max(served, minimum);
  }

  void charge(double pricedTokens) {
    served += pricedTokens / weight;
  }
}
