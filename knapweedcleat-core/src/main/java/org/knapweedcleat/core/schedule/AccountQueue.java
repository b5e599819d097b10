package org.knapweedcleat.core.schedule;

import java.util.Comparator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.knapweedcleat.core.id.AccountId;

/** The queued requests of one client account and its fair-share counter. */
final class AccountQueue {

  /** Orders accounts by weighted service received, least first. */
  static final Comparator<AccountQueue> LEAST_SERVED =
      Comparator.comparingDouble(AccountQueue::served).thenComparing(AccountQueue::account);

  private static final Comparator<QueuedRequest> BY_URGENCY_THEN_AGE =
      Comparator.comparing((QueuedRequest queued) -> !queued.isUrgent())
          .thenComparingLong(QueuedRequest::submittedMillis)
          .thenComparing(queued -> queued.request().request())
          .thenComparingInt(queued -> queued.request().attempt());

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

  /** Returns the priced tokens served so far, divided by the account's weight. */
  double served() {
    return served;
  }

  int weight() {
    return weight;
  }

  int size() {
    return size;
  }

  /** Sums the work in all lanes up to and including the last, optionally only its urgent part. */
  QueuedWork workUpTo(QueueLane last, boolean urgentOnly) {
    QueuedWork sum = QueuedWork.NONE;
    for (Map.Entry<QueueLane, NavigableSet<QueuedRequest>> lane :
        lanes.headMap(last, true).entrySet()) {
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

  void add(QueuedRequest queued) {
    weight = queued.weight();
    lanes.computeIfAbsent(queued.lane(), lane -> new TreeSet<>(BY_URGENCY_THEN_AGE)).add(queued);
    size++;
  }

  void remove(QueuedRequest queued) {
    NavigableSet<QueuedRequest> laneRequests = lanes.get(queued.lane());
    if (laneRequests == null || !laneRequests.remove(queued)) {
      return;
    }
    if (laneRequests.isEmpty()) {
      lanes.remove(queued.lane());
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
