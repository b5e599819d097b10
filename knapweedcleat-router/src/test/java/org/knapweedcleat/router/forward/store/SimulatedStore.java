package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/** A store in simulated time, which also fails requests at their timeouts as a client does. */
final class SimulatedStore implements PublishedStore, DelayedTasks {

  private static final long LATENCY_MILLIS = 4;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis));
  private final Map<String, PublishedItem> items = new LinkedHashMap<>();
  private final List<PublishedItem> history = new ArrayList<>();
  private final List<Runnable> pendingWatches = new ArrayList<>();
  private long nowMillis;
  private long revision;
  private boolean silent;

  private record Task(long atMillis, Runnable action) {}

  long nowMillis() {
    return nowMillis;
  }

  @Override
  public void schedule(long delayMillis, Runnable action) {
    tasks.add(new Task(nowMillis + delayMillis, action));
  }

  /** Runs all tasks of the next milliseconds. */
  void run(long millis) {
    long endMillis = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
      Task task = tasks.poll();
      nowMillis = task.atMillis();
      task.action().run();
    }
    nowMillis = endMillis;
  }

  /** Loses all requests and responses from now on, or answers new requests again. */
  void setSilent(boolean lost) {
    silent = lost;
  }

  long nextRevision() {
    return revision + 1;
  }

  void publish(String key, PublishedItem item) {
    revision = item.revision();
    items.put(key, item);
    history.add(item);
    List<Runnable> watches = List.copyOf(pendingWatches);
    pendingWatches.clear();
    watches.forEach(Runnable::run);
  }

  @Override
  public Future<StorePage> list(PublishedKind kind, Optional<String> after, long timeoutMillis) {
    Promise<StorePage> result = expiring(timeoutMillis);
    if (!silent) {
      respond(result, List.copyOf(items.values()));
    }
    return result.future();
  }

  @Override
  public Future<StorePage> watch(
      PublishedKind kind, long afterRevision, long waitMillis, long timeoutMillis) {
    Promise<StorePage> result = expiring(timeoutMillis);
    if (silent) {
      return result.future();
    }
    Runnable answer = () -> respond(result, changesAfter(afterRevision));
    if (changesAfter(afterRevision).isEmpty()) {
      pendingWatches.add(answer);
      schedule(waitMillis, answer);
    } else {
      answer.run();
    }
    return result.future();
  }

  private Promise<StorePage> expiring(long timeoutMillis) {
    Promise<StorePage> result = Promise.promise();
    schedule(
        timeoutMillis,
        () -> result.tryFail(new StoreException(StoreException.Reason.UNREACHABLE, "no response")));
    return result;
  }

  private void respond(Promise<StorePage> result, List<PublishedItem> listed) {
    if (!silent) {
      StorePage page = new StorePage(listed, Optional.empty(), revision);
      schedule(LATENCY_MILLIS, () -> result.tryComplete(page));
    }
  }

  private List<PublishedItem> changesAfter(long afterRevision) {
    return history.stream().filter(item -> item.revision() > afterRevision).toList();
  }
}
