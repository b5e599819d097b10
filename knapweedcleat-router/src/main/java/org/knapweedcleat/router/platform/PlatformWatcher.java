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
public final class PlatformWatcher<T> {

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 5000;

  private final Vertx vertx;
  private final Fetcher<T> fetcher;
  private final WatchTimings timings;
  private final LongSupplier randomSource;
  private final Consumer<PublishedValue<T>> onNewValue;
  private final Runnable onConfirmed;
  private Revision lastRevision = Revision.NONE;
  private boolean isReader = true;
  private boolean closed;
  private int consecutiveFailures;
  private long timer;
  private boolean callInFlight;

  private PlatformWatcher(
      Vertx vertx,
      Fetcher<T> fetch,
      WatchTimings times,
      LongSupplier randoms,
      Consumer<PublishedValue<T>> newer,
      Runnable confirmed) {
    this.vertx = vertx;
    this.fetcher = fetch;
    this.timings = times;
    this.randomSource = randoms;
    this.onNewValue = newer;
    this.onConfirmed = confirmed;
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
  public static <T> PlatformWatcher<T> create(
      Vertx vertx,
      Fetcher<T> fetch,
      WatchTimings times,
      LongSupplier randoms,
      Consumer<PublishedValue<T>> newer,
      Runnable confirmed) {
    return new PlatformWatcher<>(vertx, fetch, times, randoms, newer, confirmed);
  }

  /** Makes the first call; until {@link #setReader} says otherwise the instance is a reader. */
  public void start() {
    poll(0);
  }

  /**
   * Says whether this instance has the duty to read.
   *
   * @param isReader true to keep a call waiting at the platform
   */
  public void setReader(boolean isReader) {
    boolean becomesReader = isReader && !isReader;
    isReader = isReader;
    if (becomesReader && !callInFlight) {
      schedule(1);
    }
  }

  /** Makes no further call. */
  public void close() {
    closed = true;
    vertx.cancelTimer(timer);
  }

  private void poll(long waitMillis) {
    if (closed || callInFlight) {
      return;
    }
    callInFlight = true;
    fetcher.fetch(lastRevision, waitMillis).onSuccess(this::onResponse).onFailure(cause -> onFailure());
  }

  private void onResponse(Optional<PublishedValue<T>> answer) {
    callInFlight = false;
    if (closed) {
      return;
    }
    consecutiveFailures = 0;
    answer.filter(found -> found.revision().isAfter(lastRevision)).ifPresent(this::acceptNewer);
    onConfirmed.run();
    schedule(withJitter(isReader ? MIN_RETRY_MILLIS : timings.idlePollIntervalMillis()));
  }

  private void acceptNewer(PublishedValue<T> value) {
    lastRevision = value.revision();
    onNewValue.accept(value);
  }

  private void onFailure() {
    callInFlight = false;
    long delayMillis = Math.min(MAX_RETRY_MILLIS, MIN_RETRY_MILLIS << Math.min(consecutiveFailures, 10));
    consecutiveFailures++;
    schedule(withJitter(delayMillis));
  }

  private void schedule(long delayMillis) {
    if (closed) {
      return;
    }
    vertx.cancelTimer(timer);
    timer = vertx.setTimer(delayMillis, fired -> poll(isReader ? timings.longPollMillis() : 0));
  }

  private long withJitter(long delayMillis) {
    return delayMillis / 2 + 1 + Math.floorMod(randomSource.getAsLong(), delayMillis / 2 + 1);
  }

  /**
   * Makes one call to the platform.
   *
   * @param <T> what is published
   */
  @FunctionalInterface
  public interface Fetcher<T> {

    /**
     * Asks for a value that is newer than a revision.
     *
     * @param after the revision that is known already
     * @param waitMillis how long the platform may wait for a newer one
     * @return the value, empty if there is no newer one
     */
    Future<Optional<PublishedValue<T>>> fetch(Revision after, long waitMillis);
  }

  /**
   * How long the calls of a watch wait.
   *
   * @param longPollMillis how long a reader's call waits at the platform
   * @param idlePollIntervalMillis how long an instance without the duty waits between calls
   */
  public record WatchTimings(long longPollMillis, long idlePollIntervalMillis) {}
}
