package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.PlainCallAction;
import org.knapweedcleat.core.attempt.PlainCallCoordinator;
import org.knapweedcleat.core.attempt.PlainCallEvent;
import org.knapweedcleat.core.attempt.PlainCallSpec;
import org.knapweedcleat.core.attempt.ExecutionStatus;
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

/** Carries out what a {@link PlainCallCoordinator} wants done. */
final class PlainCallExecutor implements ActiveRequest {

  private static final long COST_TOKENS = 1;
  private static final long LATE_RESPONSE_MILLIS = 60_000;

  private final RequestRuntime serving;
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

  private PlainCallExecutor(RequestRuntime serving, AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    this.serving = serving;
    this.authorized = admitted;
    this.request = input;
    this.spec =
        new PlainCallSpec(
            serving.nextRequestId(),
            serving.context().incarnation(),
            admitted.service().id(),
            admitted.account(),
            admitted.route().safety(),
            deadlineMillis);
    this.coordinator =
        PlainCallCoordinator.of(spec, serving.retryBudget(), serving.context().monitor(), serving.nowMillis());
  }

  static PlainCallExecutor of(RequestRuntime serving, AuthorizedRequest admitted, PlainRequest input, long deadlineMillis) {
    return new PlainCallExecutor(serving, admitted, input, deadlineMillis);
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

  /** What the caller is told; it comes before {@link #outcome} when the request is given up. */
  Future<CallOutcome> callerOutcome() {
    return callerOutcome.future();
  }

  /** What became of the call. */
  Future<CallOutcome> outcome() {
    return outcome.future();
  }

  void start() {
    serving.activeRequests().add(this);
    deadlineTimer =
        serving.vertx().setTimer(spec.deadlineMillis(), id -> abort(AbortCause.DEADLINE));
    if (key().isEmpty()) {
      startCoordinator();
      return;
    }
    UniFutures.toFuture(
            serving.context().rateLimiter().acquire(spec.account(), COST_TOKENS), serving.eventLoop())
        .onSuccess(this::onRateLimitDecision)
        .onFailure(
            failure ->
                onRateLimitDecision(
                    new RateLimitDecision.Denied(DenialReason.HOME_UNREACHABLE, spec.deadlineMillis())));
  }

  private void onRateLimitDecision(RateLimitDecision limit) {
    boolean over = outcome.future().isComplete();
    if (limit instanceof RateLimitDecision.Granted granted) {
      if (over) {
        serving.context().rateLimiter().refund(spec.account(), granted.tokens());
      } else {
        startCoordinator();
      }
    } else if (limit instanceof RateLimitDecision.Denied denied && !over) {
      fail(LimitErrorMapper.toErrorResponse(denied));
    }
  }

  private void startCoordinator() {
    started = true;
    execute(coordinator.start(serving.nowMillis()));
  }

  private void handle(PlainCallEvent event) {
    execute(coordinator.handle(serving.nowMillis(), event));
  }

  private void execute(List<PlainCallAction> actions) {
    actions.forEach(this::execute);
  }

  private void execute(PlainCallAction action) {
    if (action instanceof PlainCallAction.Place place) {
      serving.place(place.request()).onSuccess(this::onPlacementDecision);
    } else if (action instanceof PlainCallAction.Report report) {
      serving.context().placementClient().report(report.progress());
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
        serving.isKeyStillValid(this, spec.account())
            ? new PlainCallEvent.PlacementDecided(decision)
            : new PlainCallEvent.Aborted(AbortCause.KEY_WITHDRAWN));
  }

  private void sendCall(int which, EndpointId id) {
    Optional<EndpointSpec> endpoint = serving.findEndpointForNewWork(id);
    if (endpoint.isEmpty()) {
      handle(new PlainCallEvent.Failed(which, CallFailure.NOT_SENT));
      return;
    }
    boolean once = spec.safety() == CallSafety.AT_MOST_ONCE;
    serving.context().monitor().check(!once || sentCalls.hasNoOpenCalls(), Invariant.AT_MOST_ONCE, id());
    EndpointCall call = newEndpointCall(endpoint.get(), once);
    Future<Either<CallFailure, EndpointResponse>> result =
        once ? serving.endpointClient().sendUnpooled(call, sentCalls) : serving.endpointClient().send(call, sentCalls);
    result.onSuccess(done -> onResult(which, id, done));
  }

  private EndpointCall newEndpointCall(EndpointSpec endpoint, boolean once) {
    MultiMap headers = request.endpointHeaders(id().value(), authorized.service().priority());
    long timeout = once ? spec.deadlineMillis() + LATE_RESPONSE_MILLIS : spec.deadlineMillis();
    return new EndpointCall(endpoint, request.method(), request.uri(), headers, request.body(), timeout);
  }

  private void onResult(int which, EndpointId endpoint, Either<CallFailure, EndpointResponse> done) {
    if (done.isLeft()) {
      handle(new PlainCallEvent.Failed(which, done.getLeft()));
      return;
    }
    EndpointResponse reply = done.get();
    lastResponse =
        new CallOutcome.Answered(
            new PlainAnswer(
                id(), endpoint, reply.status(), reply.contentType(), reply.body().getBytes()));
    handle(new PlainCallEvent.Answered(which));
  }

  private void fail(ErrorResponse failure) {
    serving.recordError(failure, sentCalls, id());
    if (failure.executionStatus() == ExecutionStatus.NO && started && key().isPresent()) {
      serving.context().rateLimiter().refund(spec.account(), COST_TOKENS);
    }
    finish(new CallOutcome.Failed(failure));
  }

  private void finish(CallOutcome result) {
    serving.vertx().cancelTimer(deadlineTimer);
    serving.activeRequests().remove(this);
    boolean first = outcome.tryComplete(result);
    serving.context().monitor().check(first, Invariant.ANSWERED_ONCE, id());
    callerOutcome.tryComplete(result);
  }
}
