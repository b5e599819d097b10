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

  private static final Comparator<Waiting> URGENT_THEN_OLDEST =
      Comparator.comparing((Waiting waiting) -> !waiting.isUrgent())
          .thenComparingLong(Waiting::submittedMillis)
          .thenComparing(waiting -> waiting.request().request())
          .thenComparingInt(waiting -> waiting.request().attempt());

  private final AccountId account;
  private final NavigableMap<QueueLane, NavigableSet<Waiting>> lanes = new TreeMap<>();
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
    for (Map.Entry<QueueLane, NavigableSet<Waiting>> lane : lanes.headMap(last, true).entrySet()) {
      for (Waiting each : lane.getValue()) {
        if (urgentOnly && lane.getKey().equals(last) && !each.isUrgent()) {
          break;
        }
        sum = sum.plus(each);
      }
    }
    return sum;
  }

  Set<QueueLane> lanes() {
    return lanes.keySet();
  }

  Waiting first(QueueLane lane) {
    return lanes.get(lane).first();
  }

  void add(Waiting waiting) {
    weight = waiting.weight();
    lanes.computeIfAbsent(waiting.lane(), lane -> new TreeSet<>(URGENT_THEN_OLDEST)).add(waiting);
    size++;
  }

  void remove(Waiting waiting) {
    NavigableSet<Waiting> inLane = lanes.get(waiting.lane());
    if (inLane == null || !inLane.remove(waiting)) {
      return;
    }
    if (inLane.isEmpty()) {
      lanes.remove(waiting.lane());
    }
    size--;
  }

  void raiseTo(double floor) {
    served = Math.max(served, floor);
  }

  void charge(double pricedTokens) {
    served += pricedTokens / weight;
  }
}
