package org.knapweedcleat.router.vertx;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.function.Supplier;

/** Converts between Vert.x futures and Mutiny {@code Uni}s. */
public final class UniFutures {

  private UniFutures() {}

  /**
   * Returns a {@code Uni} that starts an operation on each subscription.
   *
   * @param operation starts the operation
   * @param <T> the type of the result
   * @return the uni
   */
  public static <T> Uni<T> from(Supplier<Future<T>> operation) {
    return Uni.createFrom()
        .emitter(emitter -> operation.get().onSuccess(emitter::complete).onFailure(emitter::fail));
  }

  /**
   * Subscribes to a {@code Uni} and completes a future with its result on an event loop.
   *
   * @param uni the uni
   * @param context the event loop that the returned future completes on
   * @param <T> the type of the result
   * @return the future
   */
  public static <T> Future<T> toFuture(Uni<T> uni, Context context) {
    Promise<T> promise = Promise.promise();
    uni.subscribe()
        .with(
            item -> context.runOnContext(ignored -> promise.complete(item)),
            failure -> context.runOnContext(ignored -> promise.fail(failure)));
    return promise.future();
  }
}
