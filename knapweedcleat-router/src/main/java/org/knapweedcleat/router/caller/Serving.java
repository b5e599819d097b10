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
import org.knapweedcleat.router.endpoint.CancelSender;
import org.knapweedcleat.router.endpoint.EndpointClient;
import org.knapweedcleat.router.endpoint.EngineClient;
import org.knapweedcleat.router.vertx.UniFutures;

/** What all requests of an instance share; used on its event loop only. */
final class Serving {

  private static final int RETRY_PERCENT = 20;
  private static final int RETRY_BURST = 50;
  private static final long PLACE_PATIENCE_MILLIS = 1_000;
  private static final long PLACE_RETRY_MILLIS = 500;

  private final Vertx vertx;
  private final Context loop;
  private final CallerContext context;
  private final EndpointClient endpoints;
  private final EngineClient engines;
  private final CancelSender cancels;
  private final PlacementRetryBudget budget = PlacementRetryBudget.of(RETRY_PERCENT, RETRY_BURST);
  private final RunningCalls running = RunningCalls.create();
  private long lastRequest;

  private Serving(Vertx vertx, Context loop, CallerContext context) {
    this.vertx = vertx;
    this.loop = loop;
    this.context = context;
    this.endpoints = EndpointClient.create(vertx);
    this.engines = EngineClient.of(vertx, endpoints);
    this.cancels =
        CancelSender.of(
            vertx,
            engines,
            CancellationTracker.of(context.monitor()),
            this::endpoint,
            context.nowMillis(),
            context.random());
  }

  static Serving of(Vertx vertx, Context loop, CallerContext context) {
    return new Serving(vertx, loop, context);
  }

  Vertx vertx() {
    return vertx;
  }

  Context loop() {
    return loop;
  }

  CallerContext context() {
    return context;
  }

  EndpointClient endpoints() {
    return endpoints;
  }

  EngineClient engines() {
    return engines;
  }

  CancelSender cancels() {
    return cancels;
  }

  PlacementRetryBudget budget() {
    return budget;
  }

  RunningCalls running() {
    return running;
  }

  long now() {
    return context.nowMillis().getAsLong();
  }

  void count(String name) {
    count(name, 1);
  }

  void count(String name, long number) {
    context.metrics().counter(MetricRegistry.name("caller", name)).inc(number);
  }

  /** Returns an id that no request of another incarnation has, as incarnations differ. */
  RequestId nextRequest() {
    lastRequest++;
    return RequestId.of(context.incarnation(), lastRequest);
  }

  Optional<EndpointSpec> endpoint(EndpointId id) {
    return context.fleet().current().map(snapshot -> snapshot.document().endpoints().get(id));
  }

  Optional<EndpointSpec> endpointForNewWork(EndpointId id) {
    return endpoint(id).filter(endpoint -> endpoint.state().takesNewWork());
  }

  /** Counts an error answer. */
  void countError(ErrorResponse failure) {
    count("error." + failure.code().name().toLowerCase(Locale.ROOT));
  }

  /** Counts an error answer and checks that "not run" is said only if no byte left. */
  void checkFailure(ErrorResponse failure, SentCallTracker record, RequestId request) {
    countError(failure);
    boolean truthful = failure.executionStatus() != ExecutionStatus.NO || record.hasNoOpenCalls();
    context.monitor().check(truthful, Invariant.NOT_RUN_IS_TRUE, request);
  }

  /** Tells, before bytes leave, whether the key of a request still stands for its account. */
  boolean keyStillWorks(RunningCall call, AccountId account) {
    Optional<KeyIdentity> key = call.key();
    AccountId owner = key.map(KeyIdentity::account).orElse(Admitted.OPEN_ACCOUNT);
    context.monitor().check(owner.equals(account), Invariant.KEY_MATCHES_ACCOUNT, call.id());
    return key.isEmpty() || context.keys().confirms(key.get());
  }

  /** Asks the scheduler; an answer that fails or stays away becomes a refusal. */
  Future<PlacementDecision> place(PlacementRequest request) {
    if (request.attempt() > 1) {
      count("retries");
    }
    return UniFutures.toFuture(context.placements().place(request), loop)
        .timeout(request.remainingMillis() + PLACE_PATIENCE_MILLIS, TimeUnit.MILLISECONDS)
        .otherwise(failure -> refuseUnanswered(request));
  }

  /** Frees what the scheduler may have set aside for a decision that did not arrive. */
  private PlacementDecision refuseUnanswered(PlacementRequest request) {
    context
        .placements()
        .report(
            new PlacementProgress(
                request.request(), request.attempt(), PlacementStage.CANCELLED, 0));
    return new PlacementDecision.Refused(
        request.request(), request.attempt(), RefusalReason.NO_ENDPOINT, PLACE_RETRY_MILLIS);
  }
}
