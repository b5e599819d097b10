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
 * Waiting requests, a queue for each client account, served by virtual token counters.
 *
 * <p>Each account has a counter of the priced tokens it was served, divided by its weight. In a
 * lane the account with the least counter is served next. An account that comes back after a pause
 * starts from the floor, which is the counter of the account served last, so that it cannot save up
 * a claim.
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

  void add(QueuedRequest waiting) {
    AccountQueue queue = accounts.computeIfAbsent(waiting.account(), AccountQueue::of);
    reorder(
        queue,
        account -> {
          if (account.size() == 0) {
            account.raiseServedTo(floor);
          }
          account.add(waiting);
        });
    requestsByKey.put(waiting.key(), waiting);
    sizes.merge(waiting.service().id(), 1, Integer::sum);
  }

  void remove(QueuedRequest waiting) {
    if (requestsByKey.remove(waiting.key()) == null) {
      return;
    }
    reorder(accounts.get(waiting.account()), account -> account.remove(waiting));
    sizes.merge(waiting.service().id(), -1, Integer::sum);
  }

  /** Removes a request that is served now and charges its account. */
  void dequeue(QueuedRequest waiting, double pricedTokens) {
    AccountQueue queue = accounts.get(waiting.account());
    floor = Math.max(floor, queue.served());
    remove(waiting);
    charge(waiting.account(), pricedTokens);
  }

  /** Corrects what an account was charged; an account without a queue may have been forgotten. */
  void charge(AccountId account, double pricedTokens) {
    AccountQueue queue = accounts.get(account);
    if (queue != null) {
      reorder(queue, changed -> changed.charge(pricedTokens));
    }
  }

  /** Returns the request whose turn it is, or null. */
  QueuedRequest head() {
    if (lanes.isEmpty()) {
      return null;
    }
    return lanes.firstEntry().getValue().first().first(lanes.firstKey());
  }

  List<QueuedRequest> ownedBy(IncarnationId owner) {
    return requestsByKey.values().stream()
        .filter(waiting -> waiting.request().owner().equals(owner))
        .toList();
  }

  /** Sums what is likely to be served before a new request of an account in a lane. */
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

  /** Forgets accounts that would start from the floor anyway. */
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
