package org.knapweedcleat.router.forward.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Counts the open connections to each endpoint and queues the requests that wait for one. */
final class ConnectionSlots {

  private final ConnectionLimits limits;
  private final Map<String, Integer> open = new HashMap<>();
  private final Map<String, Deque<WaitingRequest>> waiting = new HashMap<>();

  ConnectionSlots(ConnectionLimits limits) {
    this.limits = limits;
  }

  /** Tells whether another connection to the endpoint may be opened. */
  boolean hasFree(String address) {
    int count = open.getOrDefault(address, 0);
    return count == 0 || count < limits.maxConnections(address);
  }

  void recordOpened(String address) {
    open.merge(address, 1, Integer::sum);
  }

  void recordClosed(String address) {
    open.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
  }

  void enqueue(WaitingRequest request) {
    waiting.computeIfAbsent(request.address(), key -> new ArrayDeque<>()).addLast(request);
  }

  /** Removes the first request that is still wanted and suitable, and drops those that ended. */
  Optional<WaitingRequest> poll(String address, Predicate<WaitingRequest> suitable) {
    Deque<WaitingRequest> queue = waiting.get(address);
    if (queue == null) {
      return Optional.empty();
    }
    queue.removeIf(one -> one.request().isFinished());
    Optional<WaitingRequest> first = queue.stream().filter(suitable).findFirst();
    first.ifPresent(queue::remove);
    if (queue.isEmpty()) {
      waiting.remove(address);
    }
    return first;
  }
}
