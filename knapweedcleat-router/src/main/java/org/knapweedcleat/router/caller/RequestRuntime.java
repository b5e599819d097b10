package org.knapweedcleat.router.caller;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.CancellationTracker;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.attempt.PlacementRetryBudget;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.RefusalReason;
import org.knapweedcleat.router.endpoint.CancellationSender;
import org.knapweedcleat.router.endpoint.EndpointClient;
import org.knapweedcleat.router.endpoint.EngineClient;
import org.knapweedcleat.router.vertx.UniFutures;

/** State and clients shared by all requests of the caller server; confined to its event loop. */
final class RequestRuntime {

  private static final int RETRY_BUDGET_PERCENT = 20;
  private static final int RETRY_BUDGET_BURST = 50;
  private static final long PLACEMENT_TIMEOUT_MARGIN_MILLIS = 1_000;
  private static final long PLACEMENT_RETRY_AFTER_MILLIS = 500;

  private final Vertx vertx;
  private final Context eventLoop;
  private final CallerContext context;
  private final EndpointClient endpointClient;
  private final EngineClient engineClient;
  private final CancellationSender cancellations;
  private final PlacementRetryBudget retryBudget =
      PlacementRetryBudget.of(RETRY_BUDGET_PERCENT, RETRY_BUDGET_BURST);
  private final ActiveRequestRegistry activeRequests = ActiveRequestRegistry.create();
  private long lastRequestNumber;

  private RequestRuntime(Vertx vertx, Context eventLoop, CallerContext context) {
    this.vertx = vertx;
    this.eventLoop = eventLoop;
    this.context = context;
    this.endpointClient = EndpointClient.create(vertx);
    this.engineClient = EngineClient.of(vertx, endpointClient);
    this.cancellations =
        CancellationSender.of(
            vertx,
            engineClient,
            CancellationTracker.of(context.monitor()),
            this::findEndpoint,
            context.nowMillis(),
            context.random());
  }

  static RequestRuntime of(Vertx vertx, Context eventLoop, CallerContext context) {
    return new RequestRuntime(vertx, eventLoop, context);
  }

  Vertx vertx() {
    return vertx;
  }

  Context eventLoop() {
    return eventLoop;
  }

  CallerContext context() {
    return context;
  }

  EndpointClient endpointClient() {
    return endpointClient;
  }

  EngineClient engineClient() {
    return engineClient;
  }

  CancellationSender cancellations() {
    return cancellations;
  }

  PlacementRetryBudget retryBudget() {
    return retryBudget;
  }

  ActiveRequestRegistry activeRequests() {
    return activeRequests;
  }

  long nowMillis() {
    return context.nowMillis().getAsLong();
  }

  void count(String name) {
    count(name, 1);
  }

  void count(String name, long increment) {
    context.metrics().counter(MetricRegistry.name("caller", name)).inc(increment);
  }

  /** Returns an id that is unique across incarnations, since it contains the local one. */
  RequestId nextRequestId() {
    lastRequestNumber++;
    return RequestId.of(context.incarnation(), lastRequestNumber);
  }

  Optional<EndpointSpec> findEndpoint(EndpointId id) {
    return context.fleet().current().map(snapshot -> snapshot.document().endpoints().get(id));
  }

  Optional<EndpointSpec> findEndpointForNewWork(EndpointId id) {
    return findEndpoint(id).filter(endpoint -> endpoint.state().acceptsNewWork());
  }

  /** Counts an error response. */
  void countError(ErrorResponse failure) {
    count("error." + failure.code().name().toLowerCase(Locale.ROOT));
  }

  /** Counts an error response, and checks that it says "not run" only if no call may have run. */
  void recordError(ErrorResponse failure, SentCallTracker sentCalls, RequestId request) {
    countError(failure);
    boolean truthful =
        failure.executionStatus() != ExecutionStatus.NO || sentCalls.hasNoOpenCalls();
    context.monitor().check(truthful, Invariant.NOT_RUN_IS_TRUE, request);
  }

  /** Returns whether the key of a request is still valid for its account; call before sending. */
  boolean isKeyStillValid(ActiveRequest request, AccountId account) {
    Optional<KeyIdentity> key = request.key();
    AccountId owner = key.map(KeyIdentity::account).orElse(AuthorizedRequest.OPEN_ACCOUNT);
    context.monitor().check(owner.equals(account), Invariant.KEY_MATCHES_ACCOUNT, request.id());
    return key.isEmpty() || context.keyAuthenticator().isStillValid(key.get());
  }

  /** Requests a placement from the scheduler; a failure or time-out results in a refusal. */
  Future<PlacementDecision> place(PlacementRequest request) {
    if (request.attempt() > 1) {
      count("retries");
    }
    return UniFutures.toFuture(context.placementClient().place(request), eventLoop)
        .timeout(request.remainingMillis() + PLACEMENT_TIMEOUT_MARGIN_MILLIS, TimeUnit.MILLISECONDS)
        .otherwise(failure -> cancelUnanswered(request));
  }

  /** Releases what the scheduler may have reserved for a decision that did not arrive. */
  private PlacementDecision cancelUnanswered(PlacementRequest request) {
    context
        .placementClient()
        .report(
            new PlacementProgress(
                request.request(), request.attempt(), PlacementStage.CANCELLED, 0));
    return new PlacementDecision.Refused(
        request.request(),
        request.attempt(),
        RefusalReason.NO_ENDPOINT,
        PLACEMENT_RETRY_AFTER_MILLIS);
  }
}
