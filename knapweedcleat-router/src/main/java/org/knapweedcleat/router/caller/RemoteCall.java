package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.once.CallOutcome;
import org.knapweedcleat.core.once.ForwardedAnswer;
import org.knapweedcleat.core.once.ForwardedCall;
import org.knapweedcleat.router.vertx.UniFutures;

/** Forwards a call to the incarnation that stores its outcome, and waits for the reply. */
final class RemoteCall implements ActiveRequest {

  /** The maximum body size, which leaves room for the other fields of the peer message. */
  static final int MAX_BODY_BYTES = 3 << 20;

  private final RequestRuntime runtime;
  private final RequestId id;
  private final Optional<KeyIdentity> key;
  private final Promise<CallOutcome> callerOutcome = Promise.promise();

  private RemoteCall(RequestRuntime runtime, Optional<KeyIdentity> key) {
    this.runtime = runtime;
    this.id = runtime.nextRequestId();
    this.key = key;
  }

  static RemoteCall of(RequestRuntime runtime, Optional<KeyIdentity> key) {
    return new RemoteCall(runtime, key);
  }

  @Override
  public RequestId id() {
    return id;
  }

  @Override
  public Optional<KeyIdentity> key() {
    return key;
  }

  @Override
  public void abort(AbortCause cause) {
    finish(
        new CallOutcome.Failed(
            ErrorResponse.withFallback(
                cause.errorCode(), ExecutionStatus.MAYBE, 0, cause.message())));
  }

  /** Completes with the outcome for the caller. */
  Future<CallOutcome> callerOutcome() {
    return callerOutcome.future();
  }

  void start(IncarnationId owner, ForwardedCall call) {
    runtime.count("forwarded");
    boolean fitsMessage = call.body().length <= MAX_BODY_BYTES;
    if (!fitsMessage || !runtime.context().instanceClient().isAlive(owner)) {
      finish(ownerUnreachable(call));
      return;
    }
    runtime.activeRequests().add(this);
    UniFutures.toFuture(
            runtime.context().instanceClient().ask(owner, call, call.remainingMillis()),
            runtime.eventLoop())
        .map(reply -> toOutcome(call, reply))
        .otherwise(failure -> ownerUnreachable(call))
        .onSuccess(this::finish);
  }

  private static CallOutcome toOutcome(ForwardedCall call, PeerMessage reply) {
    return reply instanceof ForwardedAnswer answer ? answer.outcome() : ownerUnreachable(call);
  }

  /** Reports "maybe" even if nothing was sent: an earlier call with the ticket may have run. */
  private static CallOutcome ownerUnreachable(ForwardedCall call) {
    ErrorCode error = call.ticket().isEmpty() ? ErrorCode.ENDPOINT_LOST : ErrorCode.TICKET_LOST;
    String message = "the instance that stores the outcome of the call is unreachable";
    return new CallOutcome.Failed(new ErrorResponse(error, ExecutionStatus.MAYBE, 0, message));
  }

  private void finish(CallOutcome outcome) {
    runtime.activeRequests().remove(this);
    if (callerOutcome.tryComplete(outcome) && outcome instanceof CallOutcome.Failed failed) {
      runtime.countError(failed.error());
    }
  }
}
