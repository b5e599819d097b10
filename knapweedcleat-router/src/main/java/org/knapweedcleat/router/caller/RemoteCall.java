package org.knapweedcleat.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.once.CallOutcome;
import org.knapweedcleat.core.once.ForwardedAnswer;
import org.knapweedcleat.core.once.ForwardedCall;
import org.knapweedcleat.router.vertx.UniFutures;

/** Asks the incarnation that remembers a call's outcome to run it; the caller waits here. */
final class RemoteCall implements ActiveRequest {

  /** The longest body that a message between instances carries beside its other parts. */
  static final int MAX_BODY_BYTES = 3 << 20;

  private final RequestRuntime serving;
  private final RequestId id;
  private final Optional<KeyIdentity> key;
  private final Promise<CallOutcome> callerOutcome = Promise.promise();

  private RemoteCall(RequestRuntime serving, Optional<KeyIdentity> key) {
    this.serving = serving;
    this.id = serving.nextRequestId();
    this.key = key;
  }

  static RemoteCall of(RequestRuntime serving, Optional<KeyIdentity> key) {
    return new RemoteCall(serving, key);
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
            ErrorResponse.withFallback(cause.errorCode(), ExecutionStatus.MAYBE, 0, cause.message())));
  }

  /** What the caller is told. */
  Future<CallOutcome> callerOutcome() {
    return callerOutcome.future();
  }

  void start(IncarnationId owner, ForwardedCall question) {
    serving.count("forwarded");
    boolean passable = question.body().length <= MAX_BODY_BYTES;
    if (!passable || !serving.context().instanceClient().isAlive(owner)) {
      finish(ownerUnreachable(question));
      return;
    }
    serving.activeRequests().add(this);
    UniFutures.toFuture(
            serving.context().instanceClient().ask(owner, question, question.remainingMillis()),
            serving.eventLoop())
        .map(answer -> toOutcome(question, answer))
        .otherwise(failure -> ownerUnreachable(question))
        .onSuccess(this::finish);
  }

  private static CallOutcome toOutcome(ForwardedCall question, PeerMessage answer) {
    return answer instanceof ForwardedAnswer known ? known.outcome() : ownerUnreachable(question);
  }

  /** Says "maybe" also when no byte left now: an earlier call with the ticket may have run. */
  private static CallOutcome ownerUnreachable(ForwardedCall question) {
    ErrorCode error =
        question.ticket().isEmpty() ? ErrorCode.ENDPOINT_LOST : ErrorCode.TICKET_LOST;
    String message = "the instance that remembers the call does not answer";
    return new CallOutcome.Failed(new ErrorResponse(error, ExecutionStatus.MAYBE, 0, message));
  }

  private void finish(CallOutcome outcome) {
    serving.activeRequests().remove(this);
    if (callerOutcome.tryComplete(outcome) && outcome instanceof CallOutcome.Failed failed) {
      serving.countError(failed.error());
    }
  }
}
