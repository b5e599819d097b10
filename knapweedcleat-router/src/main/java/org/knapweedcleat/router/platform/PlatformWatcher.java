package org.knapweedcleat.router.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.id.Revision;

/**
 * Watches one value that the platform publishes.
 *
 * <p>Instances selected as readers use long polling. All others poll at long intervals, so that the
 * platform's load does not grow with the fleet. Failed calls are retried with exponential backoff
 * and jitter.
 *
 * @param <T> the type of the published value
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
  private boolean reader = true;
  private boolean closed;
  private int consecutiveFailures;
  private long timer;
  private boolean callInFlight;

  private PlatformWatcher(
      Vertx vertx,
      Fetcher<T> fetcher,
      WatchTimings timings,
      LongSupplier randomSource,
      Consumer<PublishedValue<T>> onNewValue,
      Runnable onConfirmed) {
    this.vertx = vertx;
    this.fetcher = fetcher;
    this.timings = timings;
    this.randomSource = randomSource;
    this.onNewValue = onNewValue;
    this.onConfirmed = onConfirmed;
  }

  /**
   * Returns a watcher that has not been started.
   *
   * @param vertx the Vert.x instance; this method must be called on the event loop that is to run
   *     the watcher
   * @param fetcher makes one call to the platform
   * @param timings the polling intervals
   * @param randomSource the random numbers for jitter
   * @param onNewValue receives each new value
   * @param onConfirmed runs after each successful call
   * @param <T> the type of the published value
   * @return the watcher
   */
  public static <T> PlatformWatcher<T> create(
      Vertx vertx,
      Fetcher<T> fetcher,
      WatchTimings timings,
      LongSupplier randomSource,
      Consumer<PublishedValue<T>> onNewValue,
      Runnable onConfirmed) {
    return new PlatformWatcher<>(vertx, fetcher, timings, randomSource, onNewValue, onConfirmed);
  }

  /** Starts polling, as a reader until {@link #setReader} says otherwise. */
  public void start() {
    poll(0);
  }

  /**
   * Sets whether this instance is a reader.
   *
   * @param isReader true to use long polling
   */
  public void setReader(boolean isReader) {
    boolean becomesReader = isReader && !reader;
    reader = isReader;
    if (becomesReader && !callInFlight) {
      schedule(1);
    }
  }

  /** Stops polling. */
  public void close() {
    closed = true;
    vertx.cancelTimer(timer);
  }

  private void poll(long waitMillis) {
    if (closed || callInFlight) {
      return;
    }
    callInFlight = true;
    fetcher
        .fetch(lastRevision, waitMillis)
        .onSuccess(this::onResponse)
        .onFailure(cause -> onFailure());
  }

  private void onResponse(Optional<PublishedValue<T>> response) {
    callInFlight = false;
    if (closed) {
      return;
    }
    consecutiveFailures = 0;
    response.filter(value -> value.revision().isAfter(lastRevision)).ifPresent(this::acceptNewer);
    onConfirmed.run();
    schedule(withJitter(reader ? MIN_RETRY_MILLIS : timings.idlePollIntervalMillis()));
  }

  private void acceptNewer(PublishedValue<T> value) {
    lastRevision = value.revision();
    onNewValue.accept(value);
  }

  private void onFailure() {
    callInFlight = false;
    long delayMillis =
        Math.min(MAX_RETRY_MILLIS, MIN_RETRY_MILLIS << Math.min(consecutiveFailures, 10));
    consecutiveFailures++;
    schedule(withJitter(delayMillis));
  }

  private void schedule(long delayMillis) {
    if (closed) {
      return;
    }
    vertx.cancelTimer(timer);
    timer = vertx.setTimer(delayMillis, ignored -> poll(reader ? timings.longPollMillis() : 0));
  }

  private long withJitter(long delayMillis) {
    return delayMillis / 2 + 1 + Math.floorMod(randomSource.getAsLong(), delayMillis / 2 + 1);
  }

  /**
   * Makes one call to the platform.
   *
   * @param <T> the type of the published value
   */
  @FunctionalInterface
  public interface Fetcher<T> {

    /**
     * Fetches the value if it is newer than a revision.
     *
     * @param after the latest known revision
     * @param waitMillis how long the platform may wait for a newer one
     * @return the value, empty if there is no newer one
     */
    Future<Optional<PublishedValue<T>>> fetch(Revision after, long waitMillis);
  }

  /**
   * The polling intervals of a watcher.
   *
   * @param longPollMillis how long the platform may delay its response to a reader's call
   * @param idlePollIntervalMillis the interval between the calls of an instance that is not a
   *     reader
   */
  public record WatchTimings(long longPollMillis, long idlePollIntervalMillis) {}
}
