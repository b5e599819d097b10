package org.knapweedcleat.router.forward.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Follows one kind of items: lists them, then waits for changes, and begins anew after a gap. */
public final class StoreWatch {

  /** Short enough that a connection that went silent is noticed before others are late. */
  public static final long WAIT_MILLIS = 2_500;

  /** How long an answer may take beyond its wait; a slow store answers within half a second. */
  private static final long ANSWER_MILLIS = 1_000;

  /** The first pause after a failure. */
  private static final long FIRST_PAUSE_MILLIS = 100;

  /** The longest pause after failures; a returned store is found within that. */
  private static final long MAX_PAUSE_MILLIS = 800;

  private final Vertx vertx;
  private final PublishedStore store;
  private final PublishedKind kind;
  private final DirectoryListener listener;
  private long revision = -1;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private boolean closed;
  private boolean idle;
  private boolean waits;

  private StoreWatch(
      Vertx vertx, PublishedStore store, PublishedKind kind, DirectoryListener listener) {
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
  public static StoreWatch of(
      Vertx vertx, PublishedStore store, PublishedKind kind, DirectoryListener listener) {
    return new StoreWatch(vertx, store, kind, listener);
  }

  /** Begins. */
  public void start() {
    step();
  }

  /**
   * Lets the watch rest while other instances tell what changes, or go on.
   *
   * @param rests whether it asks nothing
   */
  public void rest(boolean rests) {
    idle = rests;
    if (waits && !idle) {
      waits = false;
      step();
    }
  }

  /** Ends. */
  public void close() {
    closed = true;
  }

  private void step() {
    if (closed) {
      return;
    }
    if (idle) {
      waits = true;
      return;
    }
    Future<Void> done = revision < 0 ? listAll() : watchOnce();
    done.onSuccess(
            ignored -> {
              pauseMillis = FIRST_PAUSE_MILLIS;
              step();
            })
        .onFailure(this::failed);
  }

  private Future<Void> listAll() {
    return page(new ArrayList<>(), Optional.empty(), Long.MAX_VALUE);
  }

  private Future<Void> page(List<PublishedItem> before, Optional<String> after, long firstAt) {
    return store
        .list(kind, after, ANSWER_MILLIS)
        .compose(
            page -> {
              before.addAll(page.items());
              long at = Math.min(firstAt, page.at());
              if (page.nextAfter().isPresent()) {
                return page(before, page.nextAfter(), at);
              }
              revision = at;
              listener.listed(kind, before, at);
              return Future.succeededFuture();
            });
  }

  private Future<Void> watchOnce() {
    return store
        .watch(kind, revision, WAIT_MILLIS, WAIT_MILLIS + ANSWER_MILLIS)
        .map(
            page -> {
              revision = Math.max(revision, page.at());
              listener.changed(kind, page.items(), revision);
              return null;
            });
  }

  private void failed(Throwable failure) {
    StoreException known =
        failure instanceof StoreException store
            ? store
            : new StoreException(StoreException.Reason.UNREACHABLE, String.valueOf(failure));
    if (known.reason() == StoreException.Reason.HISTORY_GONE) {
      revision = -1;
      step();
      return;
    }
    listener.lost(kind, known);
    vertx.setTimer(pauseMillis, timer -> step());
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
  }
}
