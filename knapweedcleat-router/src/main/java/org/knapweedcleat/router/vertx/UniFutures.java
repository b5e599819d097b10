package org.knapweedcleat.router.vertx;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.function.Supplier;

/** Turns Vert.x futures into Mutiny's items and back. */
public final class UniFutures {

  private UniFutures() {}

  /**
   * Returns an item that starts an operation when it is subscribed to.
   *
   * @param operation starts the operation
   * @param <T> the type of the result
   * @return the item
   */
  public static <T> Uni<T> from(Supplier<Future<T>> operation) {
    return Uni.createFrom()
        .emitter(emitter -> operation.get().onSuccess(emitter::complete).onFailure(emitter::fail));
  }

  /**
   * Subscribes to an item and hands its result to an event loop.
   *
   * @param uni the item
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
