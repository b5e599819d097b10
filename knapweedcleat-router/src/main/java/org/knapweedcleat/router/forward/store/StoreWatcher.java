package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.id.StorePosition;

/**
 * Lists the items of one kind, then long-polls for changes; lists again after a history gap and in
 * a new era.
 */
public final class StoreWatcher {

  /**
   * Longest duration of a long poll. A poll that is lost at the end of an outage takes this long,
   * its response timeout and a retry delay, together less than an instance has to catch up.
   */
  public static final long MAX_LONG_POLL_MILLIS = 2_000;

  /** Time allowed beyond the long poll; a slow store responds within half a second. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

  /** Retry delay after the first failure; doubles with each further one. */
  private static final long MIN_RETRY_DELAY_MILLIS = 100;

  /** Upper bound of the retry delay; a recovered store is detected within this time. */
  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  private final DelayedTasks tasks;
  private final PublishedStore store;
  private final PublishedKind kind;
  private final StoreListener listener;
  private final long longPollMillis;
  private StorePosition position = StorePosition.NONE;
  private StorePosition newest = StorePosition.NONE;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private boolean historyGone;
  private boolean closed;
  private boolean paused;
  private boolean pollDeferred;

  private StoreWatcher(
      DelayedTasks tasks,
      PublishedStore store,
      PublishedKind kind,
      StoreListener listener,
      long longPollMillis) {
    this.tasks = tasks;
    this.store = store;
    this.kind = kind;
    this.listener = listener;
    this.longPollMillis = longPollMillis;
  }

  /**
   * Creates a watcher that does not poll until it is started.
   *
   * @param tasks schedules retries
   * @param store the store
   * @param kind the kind of items to watch
   * @param listener receives the items
   * @param applyMillis the time within which changes have to be known; a poll is shorter, so that
   *     items stay known to be current between polls
   * @return the watcher
   */
  public static StoreWatcher of(
      DelayedTasks tasks,
      PublishedStore store,
      PublishedKind kind,
      StoreListener listener,
      long applyMillis) {
    long longPollMillis = Math.min(MAX_LONG_POLL_MILLIS, applyMillis * 2 / 3);
    return new StoreWatcher(tasks, store, kind, listener, longPollMillis);
  }

  /** Starts polling. */
  public void start() {
    poll();
  }

  /**
   * Pauses or resumes polling; paused while other instances provide the changes.
   *
   * @param pause whether to pause
   */
  public void setPaused(boolean pause) {
    paused = pause;
    if (pollDeferred && !paused) {
      pollDeferred = false;
      poll();
    }
  }

  /** Stops polling after the request in progress. */
  public void close() {
    closed = true;
  }

  private void poll() {
    if (closed) {
      return;
    }
    if (paused) {
      pollDeferred = true;
      return;
    }
    Future<Void> result = position.equals(StorePosition.NONE) ? listAll() : watchOnce();
    result.onSuccess(ignored -> poll()).onFailure(this::onFailure);
  }

  private Future<Void> listAll() {
    return listFrom(new ArrayList<>(), Optional.empty(), Optional.empty());
  }

  private Future<Void> listFrom(
      List<PublishedItem> items, Optional<String> after, Optional<StorePosition> start) {
    return store
        .list(kind, after, RESPONSE_TIMEOUT_MILLIS)
        .compose(this::rejectOutdated)
        .compose(
            page -> {
              StorePosition earliest = page.position().min(start.orElse(page.position()));
              if (page.position().isOfLaterEra(earliest)) {
                return listAll();
              }
              items.addAll(page.items());
              if (page.nextPageAfter().isPresent()) {
                return listFrom(items, page.nextPageAfter(), Optional.of(earliest));
              }
              position = earliest;
              if (!historyGone) {
                retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
              }
              listener.onListed(kind, items, earliest);
              return Future.succeededFuture();
            });
  }

  private Future<Void> watchOnce() {
    return store
        .watch(kind, position, longPollMillis, longPollMillis + RESPONSE_TIMEOUT_MILLIS)
        .compose(this::rejectOutdated)
        .compose(
            page -> {
              historyGone = false;
              retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
              if (page.position().isOfLaterEra(position)) {
                position = StorePosition.NONE;
                return Future.succeededFuture();
              }
              position = position.max(page.position());
              listener.onChanged(kind, page.items(), position);
              return Future.succeededFuture();
            });
  }

  /** Fails for a page of an earlier era than one that was received before. */
  private Future<StorePage> rejectOutdated(StorePage page) {
    if (newest.isOfLaterEra(page.position())) {
      return Future.failedFuture(
          new StoreException(
              StoreException.Reason.OUTDATED,
              "response at " + page.position() + " after one at " + newest));
    }
    newest = newest.max(page.position());
    return Future.succeededFuture(page);
  }

  private void onFailure(Throwable failure) {
    StoreException cause =
        failure instanceof StoreException store
            ? store
            : new StoreException(StoreException.Reason.UNREACHABLE, String.valueOf(failure));
    if (cause.reason() == StoreException.Reason.HISTORY_GONE) {
      position = StorePosition.NONE;
      if (!historyGone) {
        historyGone = true;
        poll();
        return;
      }
    } else {
      listener.onUnavailable(kind, cause);
    }
    tasks.schedule(retryDelayMillis, this::poll);
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
  }
}
