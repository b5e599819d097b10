package org.knapweedcleat.core.schedule;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.id.AccountId;

/** The waiting requests of one client account and the tokens that it was served. */
final class AccountQueue {

  /** The least served account comes first. */
  static final Comparator<AccountQueue> LEAST_SERVED =
      Comparator.comparingDouble(AccountQueue::served).thenComparing(AccountQueue::account);

  private final AccountId account;
  private final NavigableMap<QueueLane, Deque<Waiting>> lanes = new TreeMap<>();
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

  /** Sums what waits in the lanes up to the given one. */
  QueuedWork workUpTo(QueueLane last) {
    QueuedWork sum = QueuedWork.NONE;
    for (Deque<Waiting> waiting : lanes.headMap(last, true).values()) {
      for (Waiting each : waiting) {
        sum = sum.plus(each);
      }
    }
    return sum;
  }

  Set<QueueLane> lanes() {
    return lanes.keySet();
  }

  Waiting first(QueueLane lane) {
    return lanes.get(lane).peekFirst();
  }

  void add(Waiting waiting) {
    weight = waiting.weight();
    lanes.computeIfAbsent(waiting.lane(), lane -> new ArrayDeque<>()).add(waiting);
    size++;
  }

  void remove(Waiting waiting) {
    Deque<Waiting> deque = lanes.get(waiting.lane());
    if (deque == null || !deque.remove(waiting)) {
      return;
    }
    if (deque.isEmpty()) {
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
