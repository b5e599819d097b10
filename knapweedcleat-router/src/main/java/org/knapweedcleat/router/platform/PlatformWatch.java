package org.knapweedcleat.router.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.id.Revision;

/**
 * Follows one published value.
 *
 * <p>An instance that has the duty to read keeps a call waiting at the platform; every other asks
 * now and then, so that the platform's calls do not grow with the fleet. Failed calls are repeated
 * after an exponential delay with jitter.
 *
 * @param <T> what is published
 */
public final class PlatformWatch<T> {

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 5000;

  private final Vertx vertx;
  private final Fetch<T> fetch;
  private final WatchTimes times;
  private final LongSupplier randoms;
  private final Consumer<PublishedValue<T>> newer;
  private final Runnable confirmed;
  private Revision known = Revision.NONE;
  private boolean reader = true;
  private boolean closed;
  private int failures;
  private long timer;
  private boolean calling;

  private PlatformWatch(
      Vertx vertx,
      Fetch<T> fetch,
      WatchTimes times,
      LongSupplier randoms,
      Consumer<PublishedValue<T>> newer,
      Runnable confirmed) {
    this.vertx = vertx;
    this.fetch = fetch;
    this.times = times;
    this.randoms = randoms;
    this.newer = newer;
    this.confirmed = confirmed;
  }

  /**
   * Returns a watch that has not started.
   *
   * @param vertx runs it; has to be called on the event loop that the watch shall live on
   * @param fetch makes one call
   * @param times how long calls wait
   * @param randoms random numbers for jitter
   * @param newer takes each value
   * @param confirmed hears of each call that the platform answered
   * @param <T> what is published
   * @return the watch
   */
  public static <T> PlatformWatch<T> create(
      Vertx vertx,
      Fetch<T> fetch,
      WatchTimes times,
      LongSupplier randoms,
      Consumer<PublishedValue<T>> newer,
      Runnable confirmed) {
    return new PlatformWatch<>(vertx, fetch, times, randoms, newer, confirmed);
  }

  /** Makes the first call; until {@link #setReader} says otherwise the instance is a reader. */
  public void start() {
    call(0);
  }

  /**
   * Says whether this instance has the duty to read.
   *
   * @param isReader true to keep a call waiting at the platform
   */
  public void setReader(boolean isReader) {
    boolean becomesReader = isReader && !reader;
    reader = isReader;
    if (becomesReader && !calling) {
      schedule(1);
    }
  }

  /** Makes no further call. */
  public void close() {
    closed = true;
    vertx.cancelTimer(timer);
  }

  private void call(long waitMillis) {
    if (closed || calling) {
      return;
    }
    calling = true;
    fetch.call(known, waitMillis).onSuccess(this::onAnswer).onFailure(cause -> onFailure());
  }

  private void onAnswer(Optional<PublishedValue<T>> answer) {
    calling = false;
    if (closed) {
      return;
    }
    failures = 0;
    answer.filter(found -> found.revision().isAfter(known)).ifPresent(this::onNewer);
    confirmed.run();
    schedule(jittered(reader ? MIN_RETRY_MILLIS : times.idlePollMillis()));
  }

  private void onNewer(PublishedValue<T> value) {
    known = value.revision();
    newer.accept(value);
  }

  private void onFailure() {
    calling = false;
    long delayMillis = Math.min(MAX_RETRY_MILLIS, MIN_RETRY_MILLIS << Math.min(failures, 10));
    failures++;
    schedule(jittered(delayMillis));
  }

  private void schedule(long delayMillis) {
    if (closed) {
      return;
    }
    vertx.cancelTimer(timer);
    timer = vertx.setTimer(delayMillis, fired -> call(reader ? times.waitMillis() : 0));
  }

  private long jittered(long delayMillis) {
    return delayMillis / 2 + 1 + Math.floorMod(randoms.getAsLong(), delayMillis / 2 + 1);
  }

  /**
   * Makes one call to the platform.
   *
   * @param <T> what is published
   */
  @FunctionalInterface
  public interface Fetch<T> {

    /**
     * Asks for a value that is newer than a revision.
     *
     * @param after the revision that is known already
     * @param waitMillis how long the platform may wait for a newer one
     * @return the value, empty if there is no newer one
     */
    Future<Optional<PublishedValue<T>>> call(Revision after, long waitMillis);
  }

  /**
   * How long the calls of a watch wait.
   *
   * @param waitMillis how long a reader's call waits at the platform
   * @param idlePollMillis how long an instance without the duty waits between calls
   */
  public record WatchTimes(long waitMillis, long idlePollMillis) {}
}
