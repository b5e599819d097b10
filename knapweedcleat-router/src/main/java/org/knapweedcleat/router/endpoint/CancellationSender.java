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

/** Sends the cancels that are due until endpoints confirm them. */
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
      EngineClient engines,
      CancellationTracker ledger,
      Function<EndpointId, Optional<EndpointSpec>> directory,
      LongSupplier nowMillis,
      LongSupplier random) {
    this.vertx = vertx;
    this.engineClient = engines;
    this.tracker = ledger;
    this.endpointLookup = directory;
    this.nowMillis = nowMillis;
    this.random = random;
  }

  /**
   * Returns a sender; call {@link #start} on the event loop.
   *
   * @param vertx runs timers
   * @param engines sends the calls
   * @param ledger keeps the cancels
   * @param directory finds endpoints in the document in force
   * @param nowMillis the time, monotonic
   * @param random any numbers
   * @return the sender
   */
  public static CancellationSender of(
      Vertx vertx,
      EngineClient engines,
      CancellationTracker ledger,
      Function<EndpointId, Optional<EndpointSpec>> directory,
      LongSupplier nowMillis,
      LongSupplier random) {
    return new CancellationSender(vertx, engines, ledger, directory, nowMillis, random);
  }

  /** Begins to repeat cancels. */
  public void start() {
    timer = vertx.setPeriodic(SEND_INTERVAL_MILLIS, id -> sendDue());
  }

  /** Stops repeating cancels. */
  public void stop() {
    vertx.cancelTimer(timer);
  }

  /**
   * Adds a cancel and sends it.
   *
   * @param endpoint the endpoint
   * @param context the request
   * @param attempt the placement
   * @param released run when the endpoint has confirmed
   */
  public void cancel(
      EndpointId endpoint, EngineCallContext context, int attempt, Runnable released) {
    tracker.add(nowMillis.getAsLong(), endpoint, context.request(), attempt);
    CancellationTracker.Cancel cancel = new CancellationTracker.Cancel(endpoint, context.request());
    pending.put(cancel, new PendingCancellation(context, released));
    sendDue();
  }

  /**
   * Counts the cancels that are not confirmed.
   *
   * @return the count
   */
  public int unconfirmedCount() {
    return tracker.size();
  }

  private void sendDue() {
    for (CancellationTracker.Cancel cancel : tracker.takeDue(nowMillis.getAsLong())) {
      Optional<EndpointSpec> endpoint = endpointLookup.apply(cancel.endpoint());
      if (endpoint.isPresent()) {
        send(cancel, endpoint.get());
      } else {
        tracker.removeEndpoint(cancel.endpoint());
        complete(cancel);
      }
    }
  }

  private void send(CancellationTracker.Cancel cancel, EndpointSpec endpoint) {
    int attempt = tracker.attempt(cancel).orElse(0);
    engineClient
        .cancel(pending.get(cancel).context(), endpoint)
        .onSuccess(result -> handleResult(cancel, attempt, result));
  }

  private void handleResult(
      CancellationTracker.Cancel cancel, int attempt, Either<CallFailure, Boolean> result) {
    if (result.isRight()) {
      if (tracker.recordConfirmation(cancel, attempt)) {
        complete(cancel);
      }
      return;
    }
    boolean nobody = result.getLeft() == CallFailure.NOT_SENT;
    tracker.recordFailure(nowMillis.getAsLong(), cancel, nobody, random.getAsLong());
  }

  private void complete(CancellationTracker.Cancel cancel) {
    PendingCancellation over = pending.remove(cancel);
    if (over != null) {
      over.context().record().recordReleased(cancel.endpoint());
      over.onReleased().run();
    }
  }

  private record PendingCancellation(EngineCallContext context, Runnable onReleased) {}
}
