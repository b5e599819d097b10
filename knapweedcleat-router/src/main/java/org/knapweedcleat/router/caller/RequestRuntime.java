package org.knapweedcleat.router.caller;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.PlacementRetryBudget;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.CancellationTracker;
import org.knapweedcleat.core.attempt.ExecutionStatus;
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

/** What all requests of an instance share; used on its event loop only. */
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
  private final PlacementRetryBudget retryBudget = PlacementRetryBudget.of(RETRY_BUDGET_PERCENT, RETRY_BUDGET_BURST);
  private final ActiveRequestRegistry activeRequests = ActiveRequestRegistry.create();
  private long lastRequestNumber;

  private RequestRuntime(Vertx vertx, Context loop, CallerContext context) {
    this.vertx = vertx;
    this.eventLoop = loop;
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

  static RequestRuntime of(Vertx vertx, Context loop, CallerContext context) {
    return new RequestRuntime(vertx, loop, context);
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

  void count(String name, long number) {
    context.metrics().counter(MetricRegistry.name("caller", name)).inc(number);
  }

  /** Returns an id that no request of another incarnation has, as incarnations differ. */
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

  /** Counts an error answer. */
  void countError(ErrorResponse failure) {
    count("error." + failure.code().name().toLowerCase(Locale.ROOT));
  }

  /** Counts an error answer and checks that "not run" is said only if no byte left. */
  void recordError(ErrorResponse failure, SentCallTracker record, RequestId request) {
    countError(failure);
    boolean truthful = failure.executionStatus() != ExecutionStatus.NO || record.hasNoOpenCalls();
    context.monitor().check(truthful, Invariant.NOT_RUN_IS_TRUE, request);
  }

  /** Tells, before bytes leave, whether the key of a request still stands for its account. */
  boolean isKeyStillValid(ActiveRequest call, AccountId account) {
    Optional<KeyIdentity> key = call.key();
    AccountId owner = key.map(KeyIdentity::account).orElse(AuthorizedRequest.OPEN_ACCOUNT);
    context.monitor().check(owner.equals(account), Invariant.KEY_MATCHES_ACCOUNT, call.id());
    return key.isEmpty() || context.keyAuthenticator().isStillValid(key.get());
  }

  /** Asks the scheduler; an answer that fails or stays away becomes a refusal. */
  Future<PlacementDecision> place(PlacementRequest request) {
    if (request.attempt() > 1) {
      count("retries");
    }
    return UniFutures.toFuture(context.placementClient().place(request), eventLoop)
        .timeout(request.remainingMillis() + PLACEMENT_TIMEOUT_MARGIN_MILLIS, TimeUnit.MILLISECONDS)
        .otherwise(failure -> cancelUnanswered(request));
  }

  /** Frees what the scheduler may have set aside for a decision that did not arrive. */
  private PlacementDecision cancelUnanswered(PlacementRequest request) {
    context
        .placementClient()
        .report(
            new PlacementProgress(
                request.request(), request.attempt(), PlacementStage.CANCELLED, 0));
    return new PlacementDecision.Refused(
        request.request(), request.attempt(), RefusalReason.NO_ENDPOINT, PLACEMENT_RETRY_AFTER_MILLIS);
  }
}
