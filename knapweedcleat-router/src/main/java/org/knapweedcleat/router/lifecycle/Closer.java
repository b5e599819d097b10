package org.knapweedcleat.router.lifecycle;

import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Gathers resources and closes them in reverse order, each once, whatever the others do.
 *
 * <p>Example: {@code Server server = closer.add(Server.create(), Server::close)}.
 */
public final class Closer {

  private final Deque<Supplier<Future<Void>>> resources = new ArrayDeque<>();

  private Closer() {}

  /**
   * Returns a closer without resources.
   *
   * @return the closer
   */
  public static Closer create() {
    return new Closer();
  }

  /**
   * Adds a resource that closes at once.
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
   * Adds a resource that takes time to close.
   *
   * @param close begins to close the resource
   * @throws NullPointerException if the argument is null
   */
  public void addAsync(Supplier<Future<Void>> close) {
    resources.push(Objects.requireNonNull(close, "close"));
  }

  /**
   * Closes all resources, the last added first; closing again does nothing.
   *
   * @return succeeds when all have ended, also when some failed to close
   */
  public Future<Void> closeAll() {
    Future<Void> done = Future.succeededFuture();
    while (!resources.isEmpty()) {
      Supplier<Future<Void>> close = resources.pop();
      done = done.compose(ignored -> closeOne(close));
    }
    return done;
  }

  private static Future<Void> closeOne(Supplier<Future<Void>> close) {
    try {
      return close.get().otherwiseEmpty();
    } catch (RuntimeException e) {
      return Future.succeededFuture();
    }
  }
}
