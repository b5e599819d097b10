package org.knapweedcleat.standins.process;

import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls for conditions; the timeout only ends tests that would hang. */
final class Await {

  private static final long TIMEOUT_SECONDS = 40;
  private static final long POLL_INTERVAL_MILLIS = 20;

  private Await() {}

  static void until(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("timed out waiting for: " + description);
      }
      pause(POLL_INTERVAL_MILLIS);
    }
  }

  static <T> T result(Future<T> future) {
    until("answer", future::isComplete);
    return future.result();
  }

  static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
