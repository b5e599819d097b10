package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.knapweedcleat.core.id.StorePosition;

/** A store in simulated time, which also fails requests at their timeouts as a client does. */
final class SimulatedStore implements PublishedStore, DelayedTasks {

  private static final long LATENCY_MILLIS = 4;
  private static final int PAGE_ITEMS = 2;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis));
  private final Map<String, PublishedItem> items = new TreeMap<>();
  private final List<PublishedItem> history = new ArrayList<>();
  private final List<Runnable> pendingWatches = new ArrayList<>();
  private long nowMillis;
  private StorePosition position = StorePosition.of(1, 0);
  private boolean silent;
  private boolean forgetful;
  private int requests;
  private Optional<StorePage> nextPage = Optional.empty();

  private record Task(long atMillis, Runnable action) {}

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

  /** Keeps no history, so that all watches fail. */
  void setForgetful(boolean keepsNoHistory) {
    forgetful = keepsNoHistory;
  }

  /** Returns the number of watch requests. */
  int watchRequests() {
    return requests;
  }

  /** Responds to the next request with a page that was made earlier. */
  void respondOnceWith(StorePage page) {
    nextPage = Optional.of(page);
  }

  /**
   * Loses all changes after a revision, which starts a new era. Waiting requests get no response
   * before the next change.
   */
  void restore(long revision) {
    position = StorePosition.of(position.era() + 1, revision);
    items.values().removeIf(item -> item.position().revision() > revision);
    items.replaceAll((key, item) -> inEra(position.era(), item));
    history.clear();
  }

  private static PublishedItem inEra(long era, PublishedItem item) {
    PublishedItem.Removed removed = (PublishedItem.Removed) item;
    return new PublishedItem.Removed(
        removed.endpoint(), StorePosition.of(era, item.position().revision()));
  }

  /** Returns the position of the next change. */
  StorePosition next() {
    return StorePosition.of(position.era(), position.revision() + 1);
  }

  void publish(String key, PublishedItem item) {
    position = item.position();
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
      List<String> keys =
          items.keySet().stream().filter(key -> key.compareTo(after.orElse("")) > 0).toList();
      List<String> listed = keys.subList(0, Math.min(PAGE_ITEMS, keys.size()));
      Optional<String> nextPageAfter =
          keys.size() > PAGE_ITEMS ? Optional.of(listed.get(PAGE_ITEMS - 1)) : Optional.empty();
      respond(result, listed.stream().map(items::get).toList(), nextPageAfter);
    }
    return result.future();
  }

  @Override
  public Future<StorePage> watch(
      PublishedKind kind, StorePosition after, long waitMillis, long timeoutMillis) {
    Promise<StorePage> result = expiring(timeoutMillis);
    if (silent) {
      return result.future();
    }
    requests++;
    if (forgetful || after.revision() > position.revision()) {
      result.fail(new StoreException(StoreException.Reason.HISTORY_GONE, "status 410"));
      return result.future();
    }
    Runnable answer = () -> respond(result, changesAfter(after), Optional.empty());
    if (changesAfter(after).isEmpty()) {
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

  private void respond(
      Promise<StorePage> result, List<PublishedItem> listed, Optional<String> nextPageAfter) {
    if (!silent) {
      StorePage page = nextPage.orElse(new StorePage(listed, nextPageAfter, position));
      nextPage = Optional.empty();
      schedule(LATENCY_MILLIS, () -> result.tryComplete(page));
    }
  }

  private List<PublishedItem> changesAfter(StorePosition after) {
    return history.stream().filter(item -> item.position().revision() > after.revision()).toList();
  }
}
