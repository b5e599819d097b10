package org.knapweedcleat.router.endpoint;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.attempt.CancellationTracker;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;

/** Sends cancellations to endpoints and repeats them until they are confirmed. */
public final class CancellationSender {

  private static final long SEND_INTERVAL_MILLIS = 50;

  private final Vertx vertx;
  private final EngineClient engineClient;
  private final CancellationTracker tracker;
  private final Function<EndpointId, Optional<EndpointSpec>> endpointLookup;
  private final LongSupplier nowMillis;
  private final LongSupplier random;
  private final Map<CancellationTracker.Cancel, PendingCancellation> pending = new HashMap<>();
  private long timer;

  private CancellationSender(
      Vertx vertx,
      EngineClient engineClient,
      CancellationTracker tracker,
      Function<EndpointId, Optional<EndpointSpec>> endpointLookup,
      LongSupplier nowMillis,
      LongSupplier random) {
    this.vertx = vertx;
    this.engineClient = engineClient;
    this.tracker = tracker;
    this.endpointLookup = endpointLookup;
    this.nowMillis = nowMillis;
    this.random = random;
  }

  /**
   * Creates a sender; call {@link #start} on the event loop.
   *
   * @param vertx the Vert.x instance for timers
   * @param engineClient the client that sends the cancellations
   * @param tracker tracks the cancellations until they are confirmed
   * @param endpointLookup finds endpoints in the active document
   * @param nowMillis a monotonic clock
   * @param random a random number generator
   * @return the sender
   */
  public static CancellationSender of(
      Vertx vertx,
      EngineClient engineClient,
      CancellationTracker tracker,
      Function<EndpointId, Optional<EndpointSpec>> endpointLookup,
      LongSupplier nowMillis,
      LongSupplier random) {
    return new CancellationSender(vertx, engineClient, tracker, endpointLookup, nowMillis, random);
  }

  /** Starts repeating cancellations. */
  public void start() {
    timer = vertx.setPeriodic(SEND_INTERVAL_MILLIS, id -> sendDue());
  }

  /** Stops repeating cancellations. */
  public void stop() {
    vertx.cancelTimer(timer);
  }

  /**
   * Adds a cancellation and sends it.
   *
   * @param endpoint the endpoint
   * @param context the context of the request
   * @param attempt the attempt number of the placement
   * @param onReleased called when the endpoint has confirmed or has been removed
   */
  public void cancel(
      EndpointId endpoint, EngineCallContext context, int attempt, Runnable onReleased) {
    tracker.add(nowMillis.getAsLong(), endpoint, context.request(), attempt);
    CancellationTracker.Cancel cancellation =
        new CancellationTracker.Cancel(endpoint, context.request());
    pending.put(cancellation, new PendingCancellation(context, onReleased));
    sendDue();
  }

  /**
   * Returns the number of unconfirmed cancellations.
   *
   * @return the count
   */
  public int unconfirmedCount() {
    return tracker.size();
  }

  private void sendDue() {
    for (CancellationTracker.Cancel cancellation : tracker.takeDue(nowMillis.getAsLong())) {
      Optional<EndpointSpec> endpoint = endpointLookup.apply(cancellation.endpoint());
      if (endpoint.isPresent()) {
        send(cancellation, endpoint.get());
      } else {
        tracker.removeEndpoint(cancellation.endpoint());
        complete(cancellation);
      }
    }
  }

  private void send(CancellationTracker.Cancel cancellation, EndpointSpec endpoint) {
    int attempt = tracker.attempt(cancellation).orElse(0);
    engineClient
        .cancel(pending.get(cancellation).context(), endpoint)
        .onSuccess(result -> handleResult(cancellation, attempt, result));
  }

  private void handleResult(
      CancellationTracker.Cancel cancellation, int attempt, Either<CallFailure, Boolean> result) {
    if (result.isRight()) {
      if (tracker.recordConfirmation(cancellation, attempt)) {
        complete(cancellation);
      }
      return;
    }
    boolean notSent = result.getLeft() == CallFailure.NOT_SENT;
    tracker.recordFailure(nowMillis.getAsLong(), cancellation, notSent, random.getAsLong());
  }

  private void complete(CancellationTracker.Cancel cancellation) {
    PendingCancellation completed = pending.remove(cancellation);
    if (completed != null) {
      completed.context().sentCalls().recordReleased(cancellation.endpoint());
      completed.onReleased().run();
    }
  }

  private record PendingCancellation(EngineCallContext context, Runnable onReleased) {}
}
