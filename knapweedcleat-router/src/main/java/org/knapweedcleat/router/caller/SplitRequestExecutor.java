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
import org.knapweedcleat.router.gate.RateLimitDecision;
import org.knapweedcleat.router.vertx.UniFutures;

/** Carries out what a {@link SplitRequestCoordinator} wants done. */
final class SplitRequestExecutor implements ActiveRequest {

  private final RequestRuntime serving;
  private final SplitRequest request;
  private final SplitResponseWriter response;
  private final SplitRequestCoordinator coordinator;
  private final SentCallTracker sentCalls = SentCallTracker.create();
  private final EngineCallContext engineCallContext;
  private final Deque<SplitRequestEvent> pendingEvents = new ArrayDeque<>();
  private final long startedMillis;

  private Optional<DecodeStream> decodeStream = Optional.empty();
  private long deadlineTimer;
  private long grantedTokens;
  private boolean started;
  private boolean finished;
  private boolean executing;
  private boolean callerDisconnected;

  private SplitRequestExecutor(RequestRuntime serving, SplitRequest input, SplitResponseWriter answer) {
    this.serving = serving;
    this.request = input;
    this.response = answer;
    this.startedMillis = serving.nowMillis();
    this.coordinator =
        SplitRequestCoordinator.of(input.spec(), serving.retryBudget(), serving.context().monitor(), startedMillis);
    int priority = input.authorized().service().priority();
    this.engineCallContext = new EngineCallContext(input.spec().request(), priority, sentCalls);
  }

  static SplitRequestExecutor of(RequestRuntime serving, SplitRequest input, SplitResponseWriter answer) {
    return new SplitRequestExecutor(serving, input, answer);
  }

  @Override
  public RequestId id() {
    return request.spec().request();
  }

  @Override
  public Optional<KeyIdentity> key() {
    return request.authorized().key();
  }

  @Override
  public void abort(AbortCause cause) {
    callerDisconnected |= cause == AbortCause.CALLER_GONE;
    if (started) {
      handle(new SplitRequestEvent.Aborted(cause));
    } else if (!finished) {
      fail(ErrorResponse.withFallback(cause.errorCode(), ExecutionStatus.NO, 0, cause.message()));
    }
  }

  /** Takes the tokens and then begins; nothing leaves for an endpoint before. */
  void start() {
    serving.activeRequests().add(this);
    long deadline = request.spec().deadlineMillis();
    deadlineTimer = serving.vertx().setTimer(deadline, id -> abort(AbortCause.DEADLINE));
    if (key().isEmpty()) {
      startCoordinator();
      return;
    }
    long tokens = request.costTokens();
    UniFutures.toFuture(
            serving.context().rateLimiter().acquire(request.authorized().account(), tokens),
            serving.eventLoop())
        .onSuccess(this::onRateLimitDecision)
        .onFailure(
            failure -> onRateLimitDecision(new RateLimitDecision.Denied(DenialReason.HOME_UNREACHABLE, deadline)));
  }

  private void onRateLimitDecision(RateLimitDecision outcome) {
    if (outcome instanceof RateLimitDecision.Granted granted) {
      grantedTokens = granted.tokens();
      if (finished) {
        refundUnused();
      } else {
        startCoordinator();
      }
    } else if (outcome instanceof RateLimitDecision.Denied denied && !finished) {
      fail(LimitErrorMapper.toErrorResponse(denied));
    }
  }

  private void startCoordinator() {
    started = true;
    executeAll(coordinator.start(serving.nowMillis()));
  }

  private void handle(SplitRequestEvent event) {
    pendingEvents.add(event);
    if (!executing) {
      executeAll(List.of());
    }
  }

  /** Carries out actions and then what follows from events that came meanwhile, in order. */
  private void executeAll(List<SplitRequestAction> actions) {
    executing = true;
    try {
      actions.forEach(this::execute);
      while (!pendingEvents.isEmpty()) {
        coordinator.handle(serving.nowMillis(), pendingEvents.remove()).forEach(this::execute);
      }
    } finally {
      executing = false;
    }
  }

  private void execute(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.Place place) {
      place(place);
    } else if (action instanceof SplitRequestAction.Report report) {
      serving.context().placementClient().report(report.progress());
    } else if (action instanceof SplitRequestAction.Reserve reserve) {
      reserve(reserve);
    } else if (action instanceof SplitRequestAction.StartTimer timer) {
      int which = timer.attempt();
      serving.vertx().setTimer(timer.delayMillis(), id -> handle(new SplitRequestEvent.TimerFired(which)));
    } else if (action instanceof SplitRequestAction.Prefill prefill) {
      prefill(prefill);
    } else if (action instanceof SplitRequestAction.Import transfer) {
      importKvCache(transfer);
    } else if (action instanceof SplitRequestAction.Decode decode) {
      openDecodeStream(decode);
    } else if (action instanceof SplitRequestAction.Cancel cancel) {
      cancel(cancel);
    } else {
      executeResponseAction(action);
    }
  }

  private void executeResponseAction(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.SendHead head) {
      response.writeMetadata(newMetadata(head));
    } else if (action instanceof SplitRequestAction.SendToken token) {
      response.writeToken(token.token());
    } else if (action instanceof SplitRequestAction.SendEnd end) {
      checkEndsOnce();
      response.writeEnd(end.tokens());
      finish();
    } else if (action instanceof SplitRequestAction.SendError failure) {
      fail(failure.error());
    }
  }

  private ResponseMetadata newMetadata(SplitRequestAction.SendHead head) {
    ContinuationToken continuation =
        new ContinuationToken(
            id(),
            request.authorized().account(),
            request.spec().service(),
            request.promptDigest(),
            request.spec().maxTokens());
    return new ResponseMetadata(
        id(),
        serving.context().incarnation().instance(),
        head.prefill(),
        head.decode(),
        continuation.encode(request.authorized().keyDigest()));
  }

  private void place(SplitRequestAction.Place place) {
    serving
        .place(place.request())
        .onSuccess(
            decision ->
                handle(
                    serving.isKeyStillValid(this, request.spec().account())
                        ? new SplitRequestEvent.PlacementDecided(decision)
                        : new SplitRequestEvent.Aborted(AbortCause.KEY_WITHDRAWN)));
  }

  private void reserve(SplitRequestAction.Reserve action) {
    int which = action.attempt();
    Optional<EndpointSpec> decode = serving.findEndpointForNewWork(action.decode());
    if (decode.isEmpty()) {
      handle(new SplitRequestEvent.ReserveFailed(which, CallFailure.NOT_SENT));
      return;
    }
    serving
        .engineClient()
        .reserve(engineCallContext, which, decode.get(), action.pieces(), action.holdMillis())
        .onSuccess(
            result ->
                handleResult(
                    result,
                    granted -> new SplitRequestEvent.Reserved(which),
                    failure -> new SplitRequestEvent.ReserveFailed(which, failure)));
  }

  private void prefill(SplitRequestAction.Prefill action) {
    int which = action.attempt();
    Optional<EndpointSpec> prefill = serving.findEndpointForNewWork(action.prefill());
    if (prefill.isEmpty()) {
      handle(new SplitRequestEvent.PrefillFailed(which, CallFailure.NOT_SENT));
      return;
    }
    long timeout = Math.max(1, request.spec().deadlineMillis());
    serving
        .engineClient()
        .prefill(engineCallContext, which, prefill.get(), request.prompt(), request.spec().prefixHashes(), timeout)
        .onSuccess(
            result ->
                handleResult(
                    result,
                    done -> new SplitRequestEvent.Prefilled(which, done.handle(), done.computedTokens()),
                    failure -> new SplitRequestEvent.PrefillFailed(which, failure)));
  }

  private void importKvCache(SplitRequestAction.Import action) {
    int which = action.attempt();
    Optional<EndpointSpec> decode = serving.findEndpoint(action.decode());
    Optional<EndpointSpec> prefill = serving.findEndpoint(action.prefill());
    if (decode.isEmpty() || prefill.isEmpty()) {
      handle(new SplitRequestEvent.ImportFailed(which, CallFailure.NOT_SENT));
      return;
    }
    serving
        .engineClient()
        .importKvCache(engineCallContext, which, decode.get(), prefill.get(), action.handle())
        .onSuccess(
            result ->
                handleResult(
                    result,
                    done -> new SplitRequestEvent.Imported(which),
                    failure -> new SplitRequestEvent.ImportFailed(which, failure)));
  }

  private void openDecodeStream(SplitRequestAction.Decode action) {
    decodeStream.ifPresent(DecodeStream::close);
    int stream = action.stream();
    if (stream > 1) {
      serving.count("resumes");
    }
    Optional<EndpointSpec> decode = serving.findEndpoint(action.decode());
    if (decode.isEmpty()) {
      handle(new SplitRequestEvent.StreamBroken(stream, CallFailure.NOT_SENT));
      return;
    }
    DecodeListener listener = new StreamListener(stream);
    decodeStream =
        Optional.of(
            serving
                .engineClient()
                .openDecodeStream(
                    engineCallContext,
                    action.attempt(),
                    decode.get(),
                    action.fromPosition(),
                    action.maxTokens(),
                    listener));
  }

  private void cancel(SplitRequestAction.Cancel action) {
    EndpointId endpoint = action.endpoint();
    serving
        .cancellations()
        .cancel(endpoint, engineCallContext, action.attempt(), () -> handle(new SplitRequestEvent.MemoryReleased(endpoint)));
  }

  private <T> void handleResult(
      Either<CallFailure, T> result,
      Function<T, SplitRequestEvent> done,
      Function<CallFailure, SplitRequestEvent> failed) {
    handle(result.fold(failed, done));
  }

  private void checkEndsOnce() {
    serving.context().monitor().check(!finished, Invariant.ANSWERED_ONCE, id());
  }

  private void fail(ErrorResponse failure) {
    checkEndsOnce();
    if (callerDisconnected) {
      serving.count("gone");
    } else {
      serving.recordError(failure, sentCalls, id());
      response.writeError(failure);
    }
    finish();
  }

  private void finish() {
    finished = true;
    serving.count("tokens.dropped", coordinator.droppedTokens());
    serving.vertx().cancelTimer(deadlineTimer);
    decodeStream.ifPresent(DecodeStream::close);
    serving.activeRequests().remove(this);
    refundUnused();
  }

  /** Gives back what was not used: all if nothing ran, else the tokens that were not generated. */
  private void refundUnused() {
    long used = 0;
    if (started && coordinator.executionStatus() != ExecutionStatus.NO) {
      used = request.spec().promptTokens() + coordinator.sentTokens();
    }
    long unused = Math.max(0, grantedTokens - used);
    grantedTokens = 0;
    if (unused > 0) {
      serving.context().rateLimiter().refund(request.authorized().account(), unused);
    }
  }

  private final class StreamListener implements DecodeListener {
    private final int stream;

    private StreamListener(int stream) {
      this.stream = stream;
    }

    @Override
    public void onToken(AnswerToken token) {
      handle(new SplitRequestEvent.TokenArrived(stream, token));
    }

    @Override
    public void onEnd(int tokens) {
      handle(new SplitRequestEvent.StreamEnded(stream, tokens));
    }

    @Override
    public void onFailure(CallFailure failure) {
      handle(new SplitRequestEvent.StreamBroken(stream, failure));
    }
  }
}
