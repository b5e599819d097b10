package org.knapweedcleat.core.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * A weighted fair queue with one queue per client account, ordered by virtual token counters.
 *
 * <p>Each account has a counter of the priced tokens it was served, divided by its weight. In each
 * lane the account with the lowest counter is served next. An account that becomes active again
 * starts no lower than the floor, the highest counter from which an account was served, so that
 * idle time earns no credit.
 */
final class FairQueue {

  private final Map<AccountId, AccountQueue> accounts = new HashMap<>();
  private final NavigableSet<AccountQueue> active = new TreeSet<>(AccountQueue.LEAST_SERVED);
  private final TreeMap<QueueLane, NavigableSet<AccountQueue>> lanes = new TreeMap<>();
  private final Map<AttemptKey, QueuedRequest> requestsByKey = new LinkedHashMap<>();
  private final Map<ServiceId, Integer> sizes = new HashMap<>();
  private double floor;

  private FairQueue() {}

  static FairQueue create() {
    return new FairQueue();
  }

  int size() {
    return requestsByKey.size();
  }

  int size(ServiceId service) {
    return sizes.getOrDefault(service, 0);
  }

  int size(AccountId account) {
    AccountQueue queue = accounts.get(account);
    return queue == null ? 0 : queue.size();
  }

  Collection<QueuedRequest> requests() {
    return requestsByKey.values();
  }

  QueuedRequest get(AttemptKey key) {
    return requestsByKey.get(key);
  }

  void add(QueuedRequest queued) {
    AccountQueue queue = accounts.computeIfAbsent(queued.account(), AccountQueue::of);
    reorder(
        queue,
        account -> {
          if (account.size() == 0) {
            account.raiseServedTo(floor);
          }
          account.add(queued);
        });
    requestsByKey.put(queued.key(), queued);
    sizes.merge(queued.service().id(), 1, Integer::sum);
  }

  void remove(QueuedRequest queued) {
    if (requestsByKey.remove(queued.key()) == null) {
      return;
    }
    reorder(accounts.get(queued.account()), account -> account.remove(queued));
    sizes.merge(queued.service().id(), -1, Integer::sum);
  }

  /** Removes a request to serve it and charges its account. */
  void dequeue(QueuedRequest queued, double pricedTokens) {
    AccountQueue queue = accounts.get(queued.account());
    floor = Math.max(floor, queue.served());
    remove(queued);
    charge(queued.account(), pricedTokens);
  }

  /** Adjusts an account's charge; has no effect if the account was pruned. */
  void charge(AccountId account, double pricedTokens) {
    AccountQueue queue = accounts.get(account);
    if (queue != null) {
      reorder(queue, changed -> changed.charge(pricedTokens));
    }
  }

  /** Returns the next request in fair order, or null if the queue is empty. */
  QueuedRequest head() {
    if (lanes.isEmpty()) {
      return null;
    }
    return lanes.firstEntry().getValue().first().first(lanes.firstKey());
  }

  List<QueuedRequest> ownedBy(IncarnationId owner) {
    return requestsByKey.values().stream()
        .filter(queued -> queued.request().owner().equals(owner))
        .toList();
  }

  /** Estimates the work that is served before a new request. */
  QueuedWork workAhead(PlacementRequest request, int weight, QueueLane lane, boolean urgent) {
    AccountQueue account = accounts.get(request.account());
    QueuedWork accountWork = account == null ? QueuedWork.NONE : account.workUpTo(lane, urgent);
    double served = account == null ? floor : Math.max(floor, account.served());
    double turnTokens = (accountWork.promptTokens() + request.promptTokens()) / weight;
    QueuedWork sum = accountWork;
    for (AccountQueue other : active) {
      if (other != account) {
        double lead = Math.max(0, served - other.served());
        sum = sum.plus(other.workUpTo(lane, false).limitedTo((turnTokens + lead) * other.weight()));
      }
    }
    return sum;
  }

  /** Removes idle accounts whose counter is no higher than the floor. */
  void prune() {
    accounts.values().removeIf(queue -> queue.size() == 0 && queue.served() <= floor);
  }

  private void reorder(AccountQueue queue, Consumer<AccountQueue> change) {
    unlink(queue);
    change.accept(queue);
    link(queue);
  }

  private void unlink(AccountQueue queue) {
    active.remove(queue);
    lanes.values().forEach(queues -> queues.remove(queue));
    lanes.values().removeIf(NavigableSet::isEmpty);
  }

  private void link(AccountQueue queue) {
    if (queue.size() == 0) {
      return;
    }
    active.add(queue);
    for (QueueLane lane : queue.lanes()) {
      lanes.computeIfAbsent(lane, key -> new TreeSet<>(AccountQueue.LEAST_SERVED)).add(queue);
    }
  }
}
