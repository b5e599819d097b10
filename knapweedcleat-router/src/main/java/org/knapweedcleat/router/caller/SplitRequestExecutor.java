package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.CallFailure;
import org.knapweedcleat.core.attempt.ContinuationToken;
import org.knapweedcleat.core.attempt.ErrorResponse;
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

/** Executes the actions of a {@link SplitRequestCoordinator} and reports their results to it. */
final class SplitRequestExecutor implements ActiveRequest {

  private final RequestRuntime runtime;
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

  private SplitRequestExecutor(
      RequestRuntime runtime, SplitRequest request, SplitResponseWriter response) {
    this.runtime = runtime;
    this.request = request;
    this.response = response;
    this.startedMillis = runtime.nowMillis();
    this.coordinator =
        SplitRequestCoordinator.of(
            request.spec(), runtime.retryBudget(), runtime.context().monitor(), startedMillis);
    int priority = request.authorized().service().priority();
    this.engineCallContext = new EngineCallContext(request.spec().request(), priority, sentCalls);
  }

  static SplitRequestExecutor of(
      RequestRuntime runtime, SplitRequest request, SplitResponseWriter response) {
    return new SplitRequestExecutor(runtime, request, response);
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

  /** Acquires the tokens first; nothing is sent to an endpoint before they are granted. */
  void start() {
    runtime.activeRequests().add(this);
    long deadlineMillis = request.spec().deadlineMillis();
    deadlineTimer = runtime.vertx().setTimer(deadlineMillis, id -> abort(AbortCause.DEADLINE));
    if (key().isEmpty()) {
      startCoordinator();
      return;
    }
    long tokens = request.costTokens();
    UniFutures.toFuture(
            runtime.context().rateLimiter().acquire(request.authorized().account(), tokens),
            runtime.eventLoop())
        .onSuccess(this::onRateLimitDecision)
        .onFailure(
            failure ->
                onRateLimitDecision(
                    new RateLimitDecision.Denied(DenialReason.HOME_UNREACHABLE, deadlineMillis)));
  }

  private void onRateLimitDecision(RateLimitDecision decision) {
    if (decision instanceof RateLimitDecision.Granted granted) {
      grantedTokens = granted.tokens();
      if (finished) {
        refundUnused();
      } else {
        startCoordinator();
      }
    } else if (decision instanceof RateLimitDecision.Denied denied && !finished) {
      fail(LimitErrorMapper.toErrorResponse(denied));
    }
  }

  private void startCoordinator() {
    started = true;
    executeAll(coordinator.start(runtime.nowMillis()));
  }

  private void handle(SplitRequestEvent event) {
    pendingEvents.add(event);
    if (!executing) {
      executeAll(List.of());
    }
  }

  /** Executes the actions, then handles the events queued meanwhile, in order of arrival. */
  private void executeAll(List<SplitRequestAction> actions) {
    executing = true;
    try {
      actions.forEach(this::execute);
      while (!pendingEvents.isEmpty()) {
        coordinator.handle(runtime.nowMillis(), pendingEvents.remove()).forEach(this::execute);
      }
    } finally {
      executing = false;
    }
  }

  private void execute(SplitRequestAction action) {
    if (action instanceof SplitRequestAction.Place place) {
      place(place);
    } else if (action instanceof SplitRequestAction.Report report) {
      runtime.context().placementClient().report(report.progress());
    } else if (action instanceof SplitRequestAction.Reserve reserve) {
      reserve(reserve);
    } else if (action instanceof SplitRequestAction.StartTimer timer) {
      int attempt = timer.attempt();
      runtime
          .vertx()
          .setTimer(timer.delayMillis(), id -> handle(new SplitRequestEvent.TimerFired(attempt)));
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
        runtime.context().incarnation().instance(),
        head.prefill(),
        head.decode(),
        continuation.encode(request.authorized().keyDigest()));
  }

  private void place(SplitRequestAction.Place place) {
    runtime
        .place(place.request())
        .onSuccess(
            decision ->
                handle(
                    runtime.isKeyStillValid(this, request.spec().account())
                        ? new SplitRequestEvent.PlacementDecided(decision)
                        : new SplitRequestEvent.Aborted(AbortCause.KEY_WITHDRAWN)));
  }

  private void reserve(SplitRequestAction.Reserve action) {
    int attempt = action.attempt();
    Optional<EndpointSpec> decode = runtime.findEndpointForNewWork(action.decode());
    if (decode.isEmpty()) {
      handle(new SplitRequestEvent.ReserveFailed(attempt, CallFailure.NOT_SENT));
      return;
    }
    runtime
        .engineClient()
        .reserve(engineCallContext, attempt, decode.get(), action.pieces(), action.holdMillis())
        .onSuccess(
            result ->
                handleResult(
                    result,
                    granted -> new SplitRequestEvent.Reserved(attempt),
                    failure -> new SplitRequestEvent.ReserveFailed(attempt, failure)));
  }

  private void prefill(SplitRequestAction.Prefill action) {
    int attempt = action.attempt();
    Optional<EndpointSpec> prefill = runtime.findEndpointForNewWork(action.prefill());
    if (prefill.isEmpty()) {
      handle(new SplitRequestEvent.PrefillFailed(attempt, CallFailure.NOT_SENT));
      return;
    }
    long timeoutMillis = Math.max(1, request.spec().deadlineMillis());
    runtime
        .engineClient()
        .prefill(
            engineCallContext,
            attempt,
            prefill.get(),
            request.prompt(),
            request.spec().prefixHashes(),
            timeoutMillis)
        .onSuccess(
            result ->
                handleResult(
                    result,
                    done ->
                        new SplitRequestEvent.Prefilled(
                            attempt, done.handle(), done.computedTokens()),
                    failure -> new SplitRequestEvent.PrefillFailed(attempt, failure)));
  }

  private void importKvCache(SplitRequestAction.Import action) {
    int attempt = action.attempt();
    Optional<EndpointSpec> decode = runtime.findEndpoint(action.decode());
    Optional<EndpointSpec> prefill = runtime.findEndpoint(action.prefill());
    if (decode.isEmpty() || prefill.isEmpty()) {
      handle(new SplitRequestEvent.ImportFailed(attempt, CallFailure.NOT_SENT));
      return;
    }
    runtime
        .engineClient()
        .importKvCache(engineCallContext, attempt, decode.get(), prefill.get(), action.handle())
        .onSuccess(
            result ->
                handleResult(
                    result,
                    done -> new SplitRequestEvent.Imported(attempt),
                    failure -> new SplitRequestEvent.ImportFailed(attempt, failure)));
  }

  private void openDecodeStream(SplitRequestAction.Decode action) {
    decodeStream.ifPresent(DecodeStream::close);
    int stream = action.stream();
    if (stream > 1) {
      runtime.count("resumes");
    }
    Optional<EndpointSpec> decode = runtime.findEndpoint(action.decode());
    if (decode.isEmpty()) {
      handle(new SplitRequestEvent.StreamBroken(stream, CallFailure.NOT_SENT));
      return;
    }
    DecodeListener listener = new StreamListener(stream);
    decodeStream =
        Optional.of(
            runtime
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
    runtime
        .cancellations()
        .cancel(
            endpoint,
            engineCallContext,
            action.attempt(),
            () -> handle(new SplitRequestEvent.MemoryReleased(endpoint)));
  }

  private <T> void handleResult(
      Either<CallFailure, T> result,
      Function<T, SplitRequestEvent> onSuccess,
      Function<CallFailure, SplitRequestEvent> onFailure) {
    handle(result.fold(onFailure, onSuccess));
  }

  private void checkEndsOnce() {
    runtime.context().monitor().check(!finished, Invariant.ANSWERED_ONCE, id());
  }

  private void fail(ErrorResponse failure) {
    checkEndsOnce();
    if (callerDisconnected) {
      runtime.count("gone");
    } else {
      runtime.recordError(failure, sentCalls, id());
      response.writeError(failure);
    }
    finish();
  }

  private void finish() {
    finished = true;
    runtime.count("tokens.dropped", coordinator.droppedTokens());
    runtime.vertx().cancelTimer(deadlineTimer);
    decodeStream.ifPresent(DecodeStream::close);
    runtime.activeRequests().remove(this);
    refundUnused();
  }

  /** Refunds all tokens if nothing ran, otherwise those for output that was not sent. */
  private void refundUnused() {
    long used = 0;
    if (started && coordinator.executionStatus() != ExecutionStatus.NO) {
      used = request.spec().promptTokens() + coordinator.sentTokens();
    }
    long unused = Math.max(0, grantedTokens - used);
    grantedTokens = 0;
    if (unused > 0) {
      runtime.context().rateLimiter().refund(request.authorized().account(), unused);
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
