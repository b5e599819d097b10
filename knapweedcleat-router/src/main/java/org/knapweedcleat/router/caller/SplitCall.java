package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.attempt.ContinuationToken;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.ExecutionStatus;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.attempt.SplitRequestAction;
import org.knapweedcleat.core.attempt.SplitRequestCoordinator;
import org.knapweedcleat.core.attempt.SplitRequestEvent;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.limit.DenialReason;
import org.knapweedcleat.router.endpoint.DecodeListener;
import org.knapweedcleat.router.endpoint.DecodeStream;
import org.knapweedcleat.router.endpoint.EngineCallContext;
import org.knapweedcleat.router.gate.LimitOutcome;
import org.knapweedcleat.router.vertx.UniFutures;

/** Carries out what a {@link SplitRequestCoordinator} wants done. */
final class SplitCall implements RunningCall {

  private final Serving serving;
  private final SplitInput input;
  private final SplitAnswer answer;
  private final SplitRequestCoordinator attempt;
  private final SentCallTracker record = SentCallTracker.create();
  private final EngineCallContext calls;
  private final Deque<SplitRequestEvent> events = new ArrayDeque<>();
  private final long startedMillis;

  private Optional<DecodeStream> decoding = Optional.empty();
  private long deadlineTimer;
  private long grantedTokens;
  private boolean admitted;
  private boolean over;
  private boolean performing;
  private boolean callerGone;

  private SplitCall(Serving serving, SplitInput input, SplitAnswer answer) {
    this.serving = serving;
    this.input = input;
    this.answer = answer;
    this.startedMillis = serving.now();
    this.attempt =
        SplitRequestCoordinator.of(input.plan(), serving.budget(), serving.context().monitor(), startedMillis);
    int priority = input.admitted().service().priority();
    this.calls = new EngineCallContext(input.plan().request(), priority, record);
  }

  static SplitCall of(Serving serving, SplitInput input, SplitAnswer answer) {
    return new SplitCall(serving, input, answer);
  }

  @Override
  public RequestId id() {
    return input.plan().request();
  }

  @Override
  public Optional<KeyIdentity> key() {
    return input.admitted().key();
  }

  @Override
  public void giveUp(AbortCause cause) {
    callerGone |= cause == AbortCause.CALLER_GONE;
    if (admitted) {
      feed(new SplitRequestEvent.Aborted(cause));
    } else if (!over) {
      fail(ErrorResponse.withFallback(cause.errorCode(), ExecutionStatus.NO, 0, cause.message()));
    }
  }

  /** Takes the tokens and then begins; nothing leaves for an endpoint before. */
  void start() {
    serving.running().add(this);
    long deadline = input.plan().deadlineMillis();
    deadlineTimer = serving.vertx().setTimer(deadline, id -> giveUp(AbortCause.DEADLINE));
    if (key().isEmpty()) {
      begin();
      return;
    }
    long tokens = input.costTokens();
    UniFutures.toFuture(
            serving.context().limitGate().acquire(input.admitted().account(), tokens),
            serving.loop())
        .onSuccess(this::onLimit)
        .onFailure(
            failure -> onLimit(new LimitOutcome.Denied(DenialReason.HOME_UNREACHABLE, deadline)));
  }

  private void onLimit(LimitOutcome outcome) {
    if (outcome instanceof LimitOutcome.Granted granted) {
      grantedTokens = granted.tokens();
      if (over) {
        refund();
      } else {
        begin();
      }
    } else if (outcome instanceof LimitOutcome.Denied denied && !over) {
      fail(LimitRefusals.of(denied));
    }
  }

  private void begin() {
    admitted = true;
    carryOut(attempt.start(serving.now()));
  }

  private void feed(SplitRequestEvent event) {
    events.add(event);
    if (!performing) {
      carryOut(List.of());
    }
  }

  /** Carries out actions and then what follows from events that came meanwhile, in order. */
  private void carryOut(List<SplitRequestAction> actions) {
    performing = true;
    try {
      actions.forEach(this::perform);
      while (!events.isEmpty()) {
        attempt.handle(serving.now(), events.remove()).forEach(this::perform);
      }
    } finally {
      performing = false;
    }
  }

  private void perform(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.Place place) {
      place(place);
    } else if (action instanceof SplitRequestAction.Report report) {
      serving.context().placements().report(report.progress());
    } else if (action instanceof SplitRequestAction.Reserve reserve) {
      reserve(reserve);
    } else if (action instanceof SplitRequestAction.StartTimer timer) {
      int which = timer.attempt();
      serving.vertx().setTimer(timer.delayMillis(), id -> feed(new SplitRequestEvent.TimerFired(which)));
    } else if (action instanceof SplitRequestAction.Prefill prefill) {
      prefill(prefill);
    } else if (action instanceof SplitRequestAction.Import transfer) {
      transfer(transfer);
    } else if (action instanceof SplitRequestAction.Decode decode) {
      decode(decode);
    } else if (action instanceof SplitRequestAction.Cancel cancel) {
      cancel(cancel);
    } else {
      answer(action);
    }
  }

  private void answer(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.SendHead head) {
      answer.head(head(head));
    } else if (action instanceof SplitRequestAction.SendToken token) {
      answer.token(token.token());
    } else if (action instanceof SplitRequestAction.SendEnd end) {
      checkFirstEnd();
      answer.end(end.tokens());
      finish();
    } else if (action instanceof SplitRequestAction.SendError failure) {
      fail(failure.error());
    }
  }

  private AnswerHead head(SplitRequestAction.SendHead head) {
    ContinuationToken continuation =
        new ContinuationToken(
            id(),
            input.admitted().account(),
            input.plan().service(),
            input.promptDigest(),
            input.plan().maxTokens());
    return new AnswerHead(
        id(),
        serving.context().incarnation().instance(),
        head.prefill(),
        head.decode(),
        continuation.encode(input.admitted().digest()));
  }

  private void place(SplitRequestAction.Place place) {
    serving
        .place(place.request())
        .onSuccess(
            decision ->
                feed(
                    serving.keyStillWorks(this, input.plan().account())
                        ? new SplitRequestEvent.PlacementDecided(decision)
                        : new SplitRequestEvent.Aborted(AbortCause.KEY_WITHDRAWN)));
  }

  private void reserve(SplitRequestAction.Reserve action) {
    int which = action.attempt();
    Optional<EndpointSpec> decode = serving.endpointForNewWork(action.decode());
    if (decode.isEmpty()) {
      feed(new SplitRequestEvent.ReserveFailed(which, CallFailure.NOT_SENT));
      return;
    }
    serving
        .engines()
        .reserve(calls, which, decode.get(), action.pieces(), action.holdMillis())
        .onSuccess(
            result ->
                feedResult(
                    result,
                    granted -> new SplitRequestEvent.Reserved(which),
                    failure -> new SplitRequestEvent.ReserveFailed(which, failure)));
  }

  private void prefill(SplitRequestAction.Prefill action) {
    int which = action.attempt();
    Optional<EndpointSpec> prefill = serving.endpointForNewWork(action.prefill());
    if (prefill.isEmpty()) {
      feed(new SplitRequestEvent.PrefillFailed(which, CallFailure.NOT_SENT));
      return;
    }
    long timeout = Math.max(1, input.plan().deadlineMillis());
    serving
        .engines()
        .prefill(calls, which, prefill.get(), input.prompt(), input.plan().prefixHashes(), timeout)
        .onSuccess(
            result ->
                feedResult(
                    result,
                    done -> new SplitRequestEvent.Prefilled(which, done.handle(), done.computedTokens()),
                    failure -> new SplitRequestEvent.PrefillFailed(which, failure)));
  }

  private void transfer(SplitRequestAction.Import action) {
    int which = action.attempt();
    Optional<EndpointSpec> decode = serving.endpoint(action.decode());
    Optional<EndpointSpec> prefill = serving.endpoint(action.prefill());
    if (decode.isEmpty() || prefill.isEmpty()) {
      feed(new SplitRequestEvent.ImportFailed(which, CallFailure.NOT_SENT));
      return;
    }
    serving
        .engines()
        .importCache(calls, which, decode.get(), prefill.get(), action.handle())
        .onSuccess(
            result ->
                feedResult(
                    result,
                    done -> new SplitRequestEvent.Imported(which),
                    failure -> new SplitRequestEvent.ImportFailed(which, failure)));
  }

  private void decode(SplitRequestAction.Decode action) {
    decoding.ifPresent(DecodeStream::close);
    int stream = action.stream();
    if (stream > 1) {
      serving.count("resumes");
    }
    Optional<EndpointSpec> decode = serving.endpoint(action.decode());
    if (decode.isEmpty()) {
      feed(new SplitRequestEvent.StreamBroken(stream, CallFailure.NOT_SENT));
      return;
    }
    DecodeListener listener = new StreamListener(stream);
    decoding =
        Optional.of(
            serving
                .engines()
                .decode(
                    calls,
                    action.attempt(),
                    decode.get(),
                    action.fromPosition(),
                    action.maxTokens(),
                    listener));
  }

  private void cancel(SplitRequestAction.Cancel action) {
    EndpointId endpoint = action.endpoint();
    serving
        .cancels()
        .cancel(endpoint, calls, action.attempt(), () -> feed(new SplitRequestEvent.MemoryReleased(endpoint)));
  }

  private <T> void feedResult(
      Either<CallFailure, T> result,
      Function<T, SplitRequestEvent> done,
      Function<CallFailure, SplitRequestEvent> failed) {
    feed(result.fold(failed, done));
  }

  private void checkFirstEnd() {
    serving.context().monitor().check(!over, Invariant.ANSWERED_ONCE, id());
  }

  private void fail(ErrorResponse failure) {
    checkFirstEnd();
    if (callerGone) {
      serving.count("gone");
    } else {
      serving.checkFailure(failure, record, id());
      answer.failure(failure);
    }
    finish();
  }

  private void finish() {
    over = true;
    serving.count("tokens.dropped", attempt.droppedTokens());
    serving.vertx().cancelTimer(deadlineTimer);
    decoding.ifPresent(DecodeStream::close);
    serving.running().remove(this);
    refund();
  }

  /** Gives back what was not used: all if nothing ran, else the tokens that were not generated. */
  private void refund() {
    long used = 0;
    if (admitted && attempt.executionStatus() != ExecutionStatus.NO) {
      used = input.plan().promptTokens() + attempt.sentTokens();
    }
    long unused = Math.max(0, grantedTokens - used);
    grantedTokens = 0;
    if (unused > 0) {
      serving.context().limitGate().refund(input.admitted().account(), unused);
    }
  }

  private final class StreamListener implements DecodeListener {
    private final int stream;

    private StreamListener(int stream) {
      this.stream = stream;
    }

    @Override
    public void token(AnswerToken token) {
      feed(new SplitRequestEvent.TokenArrived(stream, token));
    }

    @Override
    public void ended(int tokens) {
      feed(new SplitRequestEvent.StreamEnded(stream, tokens));
    }

    @Override
    public void broken(CallFailure failure) {
      feed(new SplitRequestEvent.StreamBroken(stream, failure));
    }
  }
}
