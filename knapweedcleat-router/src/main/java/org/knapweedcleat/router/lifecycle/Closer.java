package org.knapweedcleat.router.lifecycle;

import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Closes registered resources in reverse order, each exactly once, even if others fail to close.
 *
 * <p>Example: {@code closer.add(server::close)}.
 */
public final class Closer {

  private final Deque<Supplier<Future<Void>>> resources = new ArrayDeque<>();

  private Closer() {}

  /**
   * Returns an empty closer.
   *
   * @return the closer
   */
  public static Closer create() {
    return new Closer();
  }

  /**
   * Adds a resource that closes synchronously.
   *
   * @param close closes the resource
   * @throws NullPointerException if the argument is null
   */
  public void add(Runnable close) {
    Objects.requireNonNull(close, "close");
    addAsync(
        () -> {
          close.run();
          return Future.succeededFuture();
        });
  }

  /**
   * Adds a resource that closes asynchronously.
   *
   * @param close starts to close the resource
   * @throws NullPointerException if the argument is null
   */
  public void addAsync(Supplier<Future<Void>> close) {
    resources.push(Objects.requireNonNull(close, "close"));
  }

  /**
   * Closes all resources, the last added first; repeated calls have no effect.
   *
   * @return succeeds when all resources have been processed, even if some failed to close
   */
  public Future<Void> closeAll() {
    Future<Void> allClosed = Future.succeededFuture();
    while (!resources.isEmpty()) {
      Supplier<Future<Void>> close = resources.pop();
      allClosed = allClosed.compose(ignored -> closeOne(close));
    }
    return allClosed;
  }

  private static Future<Void> closeOne(Supplier<Future<Void>> close) {
    try {
      return close.get().otherwiseEmpty();
    } catch (RuntimeException e) {
      return Future.succeededFuture();
    }
  }
}
