package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.attempt.PlainCallAction;
import org.knapweedcleat.core.attempt.PlainCallCoordinator;
import org.knapweedcleat.core.attempt.PlainCallEvent;
import org.knapweedcleat.core.attempt.PlainCallSpec;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.config.CallSafety;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.core.once.CallOutcome;
import org.knapweedcleat.core.once.PlainAnswer;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.router.endpoint.EndpointCall;
import org.knapweedcleat.router.endpoint.EndpointResponse;
import org.knapweedcleat.router.gate.RateLimitDecision;
import org.knapweedcleat.router.vertx.UniFutures;

/** Executes the actions of a {@link PlainCallCoordinator} and reports their results to it. */
final class PlainCallExecutor implements ActiveRequest {

  private static final long COST_TOKENS = 1;
  private static final long LATE_RESPONSE_MILLIS = 60_000;

  private final RequestRuntime runtime;
  private final AuthorizedRequest authorized;
  private final PlainRequest request;
  private final PlainCallSpec spec;
  private final PlainCallCoordinator coordinator;
  private final SentCallTracker sentCalls = SentCallTracker.create();
  private final Promise<CallOutcome> callerOutcome = Promise.promise();
  private final Promise<CallOutcome> outcome = Promise.promise();

  private CallOutcome lastResponse;
  private long deadlineTimer;
  private boolean started;

  private PlainCallExecutor(
      RequestRuntime runtime,
      AuthorizedRequest authorized,
      PlainRequest request,
      long deadlineMillis) {
    this.runtime = runtime;
    this.authorized = authorized;
    this.request = request;
    this.spec =
        new PlainCallSpec(
            runtime.nextRequestId(),
            runtime.context().incarnation(),
            authorized.service().id(),
            authorized.account(),
            authorized.route().safety(),
            deadlineMillis);
    this.coordinator =
        PlainCallCoordinator.of(
            spec, runtime.retryBudget(), runtime.context().monitor(), runtime.nowMillis());
  }

  static PlainCallExecutor of(
      RequestRuntime runtime,
      AuthorizedRequest authorized,
      PlainRequest request,
      long deadlineMillis) {
    return new PlainCallExecutor(runtime, authorized, request, deadlineMillis);
  }

  @Override
  public RequestId id() {
    return spec.request();
  }

  @Override
  public Optional<KeyIdentity> key() {
    return authorized.key();
  }

  @Override
  public void abort(AbortCause cause) {
    if (started) {
      handle(new PlainCallEvent.Aborted(cause));
    } else if (!outcome.future().isComplete()) {
      fail(ErrorResponse.withFallback(cause.errorCode(), ExecutionStatus.NO, 0, cause.message()));
    }
  }

  /** Completes with the outcome for the caller, before {@link #outcome} if the call is aborted. */
  Future<CallOutcome> callerOutcome() {
    return callerOutcome.future();
  }

  /** Completes with the final outcome of the call. */
  Future<CallOutcome> outcome() {
    return outcome.future();
  }

  void start() {
    runtime.activeRequests().add(this);
    deadlineTimer =
        runtime.vertx().setTimer(spec.deadlineMillis(), id -> abort(AbortCause.DEADLINE));
    if (key().isEmpty()) {
      startCoordinator();
      return;
    }
    UniFutures.toFuture(
            runtime.context().rateLimiter().acquire(spec.account(), COST_TOKENS),
            runtime.eventLoop())
        .onSuccess(this::onRateLimitDecision)
        .onFailure(
            failure ->
                onRateLimitDecision(
                    new RateLimitDecision.Denied(
                        DenialReason.HOME_UNREACHABLE, spec.deadlineMillis())));
  }

  private void onRateLimitDecision(RateLimitDecision decision) {
    boolean completed = outcome.future().isComplete();
    if (decision instanceof RateLimitDecision.Granted granted) {
      if (completed) {
        runtime.context().rateLimiter().refund(spec.account(), granted.tokens());
      } else {
        startCoordinator();
      }
    } else if (decision instanceof RateLimitDecision.Denied denied && !completed) {
      fail(LimitErrorMapper.toErrorResponse(denied));
    }
  }

  private void startCoordinator() {
    started = true;
    execute(coordinator.start(runtime.nowMillis()));
  }

  private void handle(PlainCallEvent event) {
    execute(coordinator.handle(runtime.nowMillis(), event));
  }

  private void execute(List<PlainCallAction> actions) {
    actions.forEach(this::execute);
  }

  private void execute(PlainCallAction action) {
    if (action instanceof PlainCallAction.Place place) {
      runtime.place(place.request()).onSuccess(this::onPlacementDecision);
    } else if (action instanceof PlainCallAction.Report report) {
      runtime.context().placementClient().report(report.progress());
    } else if (action instanceof PlainCallAction.Call call) {
      sendCall(call.attempt(), call.endpoint());
    } else if (action instanceof PlainCallAction.NotifyCaller tell) {
      callerOutcome.tryComplete(new CallOutcome.Failed(tell.error()));
    } else if (action instanceof PlainCallAction.Complete) {
      finish(lastResponse);
    } else if (action instanceof PlainCallAction.Fail fail) {
      fail(fail.error());
    }
  }

  private void onPlacementDecision(PlacementDecision decision) {
    handle(
        runtime.isKeyStillValid(this, spec.account())
            ? new PlainCallEvent.PlacementDecided(decision)
            : new PlainCallEvent.Aborted(AbortCause.KEY_WITHDRAWN));
  }

  private void sendCall(int attempt, EndpointId id) {
    Optional<EndpointSpec> endpoint = runtime.findEndpointForNewWork(id);
    if (endpoint.isEmpty()) {
      handle(new PlainCallEvent.Failed(attempt, CallFailure.NOT_SENT));
      return;
    }
    boolean atMostOnce = spec.safety() == CallSafety.AT_MOST_ONCE;
    runtime
        .context()
        .monitor()
        .check(!atMostOnce || sentCalls.hasNoOpenCalls(), Invariant.AT_MOST_ONCE, id());
    EndpointCall call = newEndpointCall(endpoint.get(), atMostOnce);
    runtime
        .endpointClient()
        .send(call, sentCalls)
        .onSuccess(response -> onResult(attempt, id, response));
  }

  private EndpointCall newEndpointCall(EndpointSpec endpoint, boolean atMostOnce) {
    MultiMap headers = request.endpointHeaders(id().value(), authorized.service().priority());
    long timeoutMillis =
        atMostOnce ? spec.deadlineMillis() + LATE_RESPONSE_MILLIS : spec.deadlineMillis();
    return new EndpointCall(
        endpoint, request.method(), request.uri(), headers, request.body(), timeoutMillis);
  }

  private void onResult(
      int attempt, EndpointId endpoint, Either<CallFailure, EndpointResponse> result) {
    if (result.isLeft()) {
      handle(new PlainCallEvent.Failed(attempt, result.getLeft()));
      return;
    }
    EndpointResponse response = result.get();
    lastResponse =
        new CallOutcome.Answered(
            new PlainAnswer(
                id(),
                endpoint,
                response.status(),
                response.contentType(),
                response.body().getBytes()));
    handle(new PlainCallEvent.Answered(attempt));
  }

  private void fail(ErrorResponse failure) {
    runtime.recordError(failure, sentCalls, id());
    if (failure.executionStatus() == ExecutionStatus.NO && started && key().isPresent()) {
      runtime.context().rateLimiter().refund(spec.account(), COST_TOKENS);
    }
    finish(new CallOutcome.Failed(failure));
  }

  private void finish(CallOutcome result) {
    runtime.vertx().cancelTimer(deadlineTimer);
    runtime.activeRequests().remove(this);
    boolean first = outcome.tryComplete(result);
    runtime.context().monitor().check(first, Invariant.ANSWERED_ONCE, id());
    callerOutcome.tryComplete(result);
  }
}
