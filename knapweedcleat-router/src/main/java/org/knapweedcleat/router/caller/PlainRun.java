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
import org.knapweedcleat.router.endpoint.EndpointReply;
import org.knapweedcleat.router.gate.LimitOutcome;
import org.knapweedcleat.router.vertx.UniFutures;

/** Carries out what a {@link PlainCallCoordinator} wants done. */
final class PlainRun implements RunningCall {

  private static final long COST_TOKENS = 1;
  private static final long LATE_ANSWER_MILLIS = 60_000;

  private final Serving serving;
  private final Admitted admitted;
  private final PlainInput input;
  private final PlainCallSpec plan;
  private final PlainCallCoordinator attempt;
  private final SentCallTracker record = SentCallTracker.create();
  private final Promise<CallOutcome> told = Promise.promise();
  private final Promise<CallOutcome> outcome = Promise.promise();

  private CallOutcome lastAnswer;
  private long deadlineTimer;
  private boolean begun;

  private PlainRun(Serving serving, Admitted admitted, PlainInput input, long deadlineMillis) {
    this.serving = serving;
    this.admitted = admitted;
    this.input = input;
    this.plan =
        new PlainCallSpec(
            serving.nextRequest(),
            serving.context().incarnation(),
            admitted.service().id(),
            admitted.account(),
            admitted.route().safety(),
            deadlineMillis);
    this.attempt =
        PlainCallCoordinator.of(plan, serving.budget(), serving.context().monitor(), serving.now());
  }

  static PlainRun of(Serving serving, Admitted admitted, PlainInput input, long deadlineMillis) {
    return new PlainRun(serving, admitted, input, deadlineMillis);
  }

  @Override
  public RequestId id() {
    return plan.request();
  }

  @Override
  public Optional<KeyIdentity> key() {
    return admitted.key();
  }

  @Override
  public void giveUp(AbortCause cause) {
    if (begun) {
      feed(new PlainCallEvent.Aborted(cause));
    } else if (!outcome.future().isComplete()) {
      fail(ErrorResponse.withFallback(cause.errorCode(), ExecutionStatus.NO, 0, cause.message()));
    }
  }

  /** What the caller is told; it comes before {@link #outcome} when the request is given up. */
  Future<CallOutcome> told() {
    return told.future();
  }

  /** What became of the call. */
  Future<CallOutcome> outcome() {
    return outcome.future();
  }

  void start() {
    serving.running().add(this);
    deadlineTimer =
        serving.vertx().setTimer(plan.deadlineMillis(), id -> giveUp(AbortCause.DEADLINE));
    if (key().isEmpty()) {
      begin();
      return;
    }
    UniFutures.toFuture(
            serving.context().limitGate().acquire(plan.account(), COST_TOKENS), serving.loop())
        .onSuccess(this::onLimit)
        .onFailure(
            failure ->
                onLimit(
                    new LimitOutcome.Denied(DenialReason.HOME_UNREACHABLE, plan.deadlineMillis())));
  }

  private void onLimit(LimitOutcome limit) {
    boolean over = outcome.future().isComplete();
    if (limit instanceof LimitOutcome.Granted granted) {
      if (over) {
        serving.context().limitGate().refund(plan.account(), granted.tokens());
      } else {
        begin();
      }
    } else if (limit instanceof LimitOutcome.Denied denied && !over) {
      fail(LimitRefusals.of(denied));
    }
  }

  private void begin() {
    begun = true;
    perform(attempt.start(serving.now()));
  }

  private void feed(PlainCallEvent event) {
    perform(attempt.handle(serving.now(), event));
  }

  private void perform(List<PlainCallAction> actions) {
    actions.forEach(this::perform);
  }

  private void perform(PlainCallAction action) {
    if (action instanceof PlainCallAction.Place place) {
      serving.place(place.request()).onSuccess(this::onDecision);
    } else if (action instanceof PlainCallAction.Report report) {
      serving.context().placements().report(report.progress());
    } else if (action instanceof PlainCallAction.Call call) {
      call(call.attempt(), call.endpoint());
    } else if (action instanceof PlainCallAction.NotifyCaller tell) {
      told.tryComplete(new CallOutcome.Failed(tell.error()));
    } else if (action instanceof PlainCallAction.Complete) {
      finish(lastAnswer);
    } else if (action instanceof PlainCallAction.Fail fail) {
      fail(fail.error());
    }
  }

  private void onDecision(PlacementDecision decision) {
    feed(
        serving.keyStillWorks(this, plan.account())
            ? new PlainCallEvent.PlacementDecided(decision)
            : new PlainCallEvent.Aborted(AbortCause.KEY_WITHDRAWN));
  }

  private void call(int which, EndpointId id) {
    Optional<EndpointSpec> endpoint = serving.endpointForNewWork(id);
    if (endpoint.isEmpty()) {
      feed(new PlainCallEvent.Failed(which, CallFailure.NOT_SENT));
      return;
    }
    boolean once = plan.safety() == CallSafety.AT_MOST_ONCE;
    serving.context().monitor().check(!once || record.hasNoOpenCalls(), Invariant.AT_MOST_ONCE, id());
    EndpointCall call = endpointCall(endpoint.get(), once);
    Future<Either<CallFailure, EndpointReply>> result =
        once ? serving.endpoints().sendAlone(call, record) : serving.endpoints().send(call, record);
    result.onSuccess(done -> onResult(which, id, done));
  }

  private EndpointCall endpointCall(EndpointSpec endpoint, boolean once) {
    MultiMap headers = input.headers(id().value(), admitted.service().priority());
    long timeout = once ? plan.deadlineMillis() + LATE_ANSWER_MILLIS : plan.deadlineMillis();
    return new EndpointCall(endpoint, input.method(), input.uri(), headers, input.body(), timeout);
  }

  private void onResult(int which, EndpointId endpoint, Either<CallFailure, EndpointReply> done) {
    if (done.isLeft()) {
      feed(new PlainCallEvent.Failed(which, done.getLeft()));
      return;
    }
    EndpointReply reply = done.get();
    lastAnswer =
        new CallOutcome.Answered(
            new PlainAnswer(
                id(), endpoint, reply.status(), reply.contentType(), reply.body().getBytes()));
    feed(new PlainCallEvent.Answered(which));
  }

  private void fail(ErrorResponse failure) {
    serving.checkFailure(failure, record, id());
    if (failure.executionStatus() == ExecutionStatus.NO && begun && key().isPresent()) {
      serving.context().limitGate().refund(plan.account(), COST_TOKENS);
    }
    finish(new CallOutcome.Failed(failure));
  }

  private void finish(CallOutcome result) {
    serving.vertx().cancelTimer(deadlineTimer);
    serving.running().remove(this);
    boolean first = outcome.tryComplete(result);
    serving.context().monitor().check(first, Invariant.ANSWERED_ONCE, id());
    told.tryComplete(result);
  }
}
