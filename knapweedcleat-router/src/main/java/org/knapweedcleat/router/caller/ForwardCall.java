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
final class ForwardCall implements RunningCall {

  /** The longest body that a message between instances carries beside its other parts. */
  static final int MAX_BODY_BYTES = 3 << 20;

  private final Serving serving;
  private final RequestId id;
  private final Optional<KeyIdentity> key;
  private final Promise<CallOutcome> told = Promise.promise();

  private ForwardCall(Serving serving, Optional<KeyIdentity> key) {
    this.serving = serving;
    this.id = serving.nextRequest();
    this.key = key;
  }

  static ForwardCall of(Serving serving, Optional<KeyIdentity> key) {
    return new ForwardCall(serving, key);
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
  public void giveUp(AbortCause cause) {
    finish(
        new CallOutcome.Failed(
            ErrorResponse.withFallback(cause.errorCode(), ExecutionStatus.MAYBE, 0, cause.message())));
  }

  /** What the caller is told. */
  Future<CallOutcome> told() {
    return told.future();
  }

  void start(IncarnationId owner, ForwardedCall question) {
    serving.count("forwarded");
    boolean passable = question.body().length <= MAX_BODY_BYTES;
    if (!passable || !serving.context().instances().isAlive(owner)) {
      finish(lost(question));
      return;
    }
    serving.running().add(this);
    UniFutures.toFuture(
            serving.context().instances().ask(owner, question, question.remainingMillis()),
            serving.loop())
        .map(answer -> outcome(question, answer))
        .otherwise(failure -> lost(question))
        .onSuccess(this::finish);
  }

  private static CallOutcome outcome(ForwardedCall question, PeerMessage answer) {
    return answer instanceof ForwardedAnswer known ? known.outcome() : lost(question);
  }

  /** Says "maybe" also when no byte left now: an earlier call with the ticket may have run. */
  private static CallOutcome lost(ForwardedCall question) {
    ErrorCode error =
        question.ticket().isEmpty() ? ErrorCode.ENDPOINT_LOST : ErrorCode.TICKET_LOST;
    String message = "the instance that remembers the call does not answer";
    return new CallOutcome.Failed(new ErrorResponse(error, ExecutionStatus.MAYBE, 0, message));
  }

  private void finish(CallOutcome outcome) {
    serving.running().remove(this);
    if (told.tryComplete(outcome) && outcome instanceof CallOutcome.Failed failed) {
      serving.countError(failed.error());
    }
  }
}
