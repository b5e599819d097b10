package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Follows one kind of items: lists them, then waits for changes, and begins anew after a gap. */
public final class StoreWatcher {

  /** Short enough that a connection that went silent is noticed before others are late. */
  public static final long LONG_POLL_MILLIS = 2_500;

  /** How long an answer may take beyond its wait; a slow store answers within half a second. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

  /** The first pause after a failure. */
  private static final long MIN_RETRY_DELAY_MILLIS = 100;

  /** The longest pause after failures; a returned store is found within that. */
  private static final long MAX_RETRY_DELAY_MILLIS = 800;

  private final Vertx vertx;
  private final PublishedStore store;
  private final PublishedKind kind;
  private final StoreListener listener;
  private long revision = -1;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private boolean closed;
  private boolean paused;
  private boolean stepDeferred;

  private StoreWatcher(
      Vertx vertx, PublishedStore store, PublishedKind kind, StoreListener listener) {
    this.vertx = vertx;
    this.store = store;
    this.kind = kind;
    this.listener = listener;
  }

  /**
   * Returns a watch that has not begun.
   *
   * @param vertx runs it
   * @param store the store
   * @param kind which items
   * @param listener hears the items
   * @return the watch
   */
  public static StoreWatcher of(
      Vertx vertx, PublishedStore store, PublishedKind kind, StoreListener listener) {
    return new StoreWatcher(vertx, store, kind, listener);
  }

  /** Begins. */
  public void start() {
    poll();
  }

  /**
   * Lets the watch rest while other instances tell what changes, or go on.
   *
   * @param rests whether it asks nothing
   */
  public void setPaused(boolean rests) {
    paused = rests;
    if (stepDeferred && !paused) {
      stepDeferred = false;
      poll();
    }
  }

  /** Ends. */
  public void close() {
    closed = true;
  }

  private void poll() {
    if (closed) {
      return;
    }
    if (paused) {
      stepDeferred = true;
      return;
    }
    Future<Void> done = revision < 0 ? listAll() : watchOnce();
    done.onSuccess(
            ignored -> {
              retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
              poll();
            })
        .onFailure(this::onFailure);
  }

  private Future<Void> listAll() {
    return listFrom(new ArrayList<>(), Optional.empty(), Long.MAX_VALUE);
  }

  private Future<Void> listFrom(List<PublishedItem> before, Optional<String> after, long firstAt) {
    return store
        .list(kind, after, RESPONSE_TIMEOUT_MILLIS)
        .compose(
            page -> {
              before.addAll(page.items());
              long at = Math.min(firstAt, page.revision());
              if (page.nextPageAfter().isPresent()) {
                return listFrom(before, page.nextPageAfter(), at);
              }
              revision = at;
              listener.onListed(kind, before, at);
              return Future.succeededFuture();
            });
  }

  private Future<Void> watchOnce() {
    return store
        .watch(kind, revision, LONG_POLL_MILLIS, LONG_POLL_MILLIS + RESPONSE_TIMEOUT_MILLIS)
        .map(
            page -> {
              revision = Math.max(revision, page.revision());
              listener.onChanged(kind, page.items(), revision);
              return null;
            });
  }

  private void onFailure(Throwable failure) {
    StoreException known =
        failure instanceof StoreException store
            ? store
            : new StoreException(StoreException.Reason.UNREACHABLE, String.valueOf(failure));
    if (known.reason() == StoreException.Reason.HISTORY_GONE) {
      revision = -1;
      poll();
      return;
    }
    listener.onUnavailable(kind, known);
    vertx.setTimer(retryDelayMillis, timer -> poll());
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
  }
}
