package org.knapweedcleat.router.forward.call;

import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.forward.EventSplitter;
import org.knapweedcleat.core.forward.RetryDecision;
import org.knapweedcleat.core.forward.StreamTimeline;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.room.CapacityWaitPolicy;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.KvHandle;
import org.knapweedcleat.router.forward.codec.ResponseHead;
import org.knapweedcleat.router.forward.codec.ResponseKind;
import org.knapweedcleat.router.forward.codec.TokenUsage;
import org.knapweedcleat.router.forward.http.BufferedResponseListener;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.ResponseListener;
import org.knapweedcleat.router.forward.http.ResponseMatcher;
import org.knapweedcleat.router.forward.http.TransportFailure;

/**
 * A call whose response is a stream of events.
 *
 * <p>A prefill engine processes the prompt and a decode engine fetches the resulting KV cache, or a
 * decode engine does both. Only complete events are passed on. An interrupted stream resumes at
 * another engine after the last complete event if its route allows that. The request at a silent
 * engine stays open until another engine has begun to respond.
 */
final class StreamingCall extends ForwardedCall {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  /** A prefill is abandoned after this multiple of its expected duration. */
  private static final double PREFILL_TIMEOUT_FACTOR = 3;

  /**
   * Minimum prefill timeout. It covers a round trip between regions, a long prompt on a slow engine
   * and an engine's delay before its first response. Repeating the prefill elsewhere costs more
   * than waiting.
   */
  private static final long MIN_PREFILL_TIMEOUT_MILLIS = 600;

  /** How long a retryable stream waits for its first event beyond the expected time. */
  private static final long FIRST_EVENT_GRACE_MILLIS = 900;

  /** Timeout for the next event of a resumable stream; callers give up after two seconds. */
  private static final long NEXT_EVENT_TIMEOUT_MILLIS = 1_000;

  /**
   * How long an interrupted stream waits for engine capacity before it is placed regardless;
   * callers give up after two seconds without an event.
   */
  private static final long RESUME_WAIT_LIMIT_MILLIS = 1_000;

  /**
   * A KV cache is assumed lost after this many engines refused a request that fetches it. In a
   * large fleet a single refusal is mostly due to outdated information about the engine's free
   * memory.
   */
  private static final int MAX_REFUSED_FETCHES = 2;

  /** As {@link #MAX_REFUSED_FETCHES}, if the last of the engines was probably full. */
  private static final int MAX_REFUSED_FETCHES_IF_FULL = 3;

  /** A queued stream is asked for again after this time without a message. */
  private static final long QUEUE_CONFIRM_MILLIS = 1_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  /** An engine estimated to be fuller than this may have refused for lack of memory. */
  private static final double LIKELY_FULL_FRACTION = 0.75;

  /** The fraction of a KV cache's lifetime during which it is offered to decode engines. */
  private static final double KV_HANDLE_USE_FRACTION = 0.7;

  /** An engine that writes events for this long does not crash under the prompt. */
  private static final long SURVIVED_AFTER_MILLIS = 1_000;

  /** An engine that is lost within this time after its first event may have crashed under it. */
  private static final long JUST_BEGUN_MILLIS = 300;

  private static final int FIRST_SERVER_ERROR = 500;

  private static final TokenUsage UNKNOWN_USAGE = new TokenUsage(1, 1);

  private final TokenUsage usage;
  private final EngineProfile profile;
  private final CapacityWaitPolicy capacityPolicy;
  private final StreamTimeline timeline;
  private final StreamPlacer placer;
  private Optional<String> lastEventId = Optional.empty();
  private boolean brokeOffInsideEvent;
  private Optional<KvHandle> kvHandle = Optional.empty();
  private Optional<KvHandle> standbyKvHandle = Optional.empty();
  private long kvHandleSinceMillis;
  private Optional<EndpointId> lastPrefillEngine = Optional.empty();
  private long prefillMillis;
  private final Set<EndpointId> failedPrefillEngines = new HashSet<>();
  private int refusedFetches;
  private boolean splitRuledOut;
  private Optional<String> mediaType = Optional.empty();
  private long interruptedAtMillis = NEVER_MILLIS;

  StreamingCall(
      ForwardContext context,
      CallerExchange exchange,
      InboundCall call,
      ForwardRoute route,
      Optional<AccountQuota> account,
      long units) {
    super(context, exchange, call, route, account, units);
    this.timeline = StreamTimeline.startedAt(startedMillis);
    this.placer =
        new StreamPlacer(context, service, call.requestId(), this::mayBeServedIn, this::isFinished);
    this.usage = call.usage().orElse(UNKNOWN_USAGE);
    this.capacityPolicy =
        CapacityWaitPolicy.of(context.latenessDetector().isLate(route, call.deadlineMillis()));
    this.profile =
        context
            .directory()
            .config()
            .flatMap(config -> config.findService(service))
            .map(serviceProfile -> serviceProfile.engine())
            .orElse(EngineProfile.NONE);
  }

  @Override
  protected void place() {
    if (refuseIfQuarantined()) {
      return;
    }
    List<EndpointEntry> candidates = candidates();
    if (candidates.isEmpty() && !exchange.isResponseStarted()) {
      refuseWithoutCandidates();
      return;
    }
    boolean kvCacheUsable =
        context.nowMillis() - kvHandleSinceMillis
            < profile.prefillRetentionMillis() * KV_HANDLE_USE_FRACTION;
    if (!kvCacheUsable) {
      releaseKvCache();
    }
    boolean forced =
        exchange.isResponseStarted()
            && context.nowMillis() - interruptedAtMillis >= RESUME_WAIT_LIMIT_MILLIS;
    StreamRequirements need =
        new StreamRequirements(
            kvHandle.isPresent() ? 0 : usage.promptTokens(),
            usage.initialMemoryTokens(),
            !splitRuledOut && kvHandle.isEmpty(),
            failedPrefillEngines,
            capacityPolicy.usableMemoryFraction(),
            forced,
            route.maxGapMillis());
    StreamPlacer.Requirements requirements =
        new StreamPlacer.Requirements(
            candidates, ledger.triedEndpoints(), profile, need, remainingMillis());
    PlacementWait wait = new PlacementWait(currentSearch());
    if (!forced && placer.isQueued()) {
      placer.admit(requirements, admissionTerms(), wait);
    } else {
      placer.place(requirements, wait::onPlacement);
    }
  }

  private StreamAdmission.Terms admissionTerms() {
    boolean started = exchange.isResponseStarted() || kvHandle.isPresent();
    long targetMillis = capacityPolicy == CapacityWaitPolicy.LATE ? 0 : route.targetMillis();
    long waitedMillis = context.nowMillis() - startedMillis;
    return new StreamAdmission.Terms(
        started,
        rank(),
        accountName(),
        targetMillis,
        started
            ? waitedMillis + remainingMillis()
            : capacityPolicy.queueMillis(route.targetMillis()),
        waitedMillis);
  }

  /** Returns after which time a queued stream is asked for again, in case a notice was lost. */
  private long confirmMillis() {
    long millis = QUEUE_CONFIRM_MILLIS;
    if (exchange.isResponseStarted()) {
      long interruptedMillis = context.nowMillis() - interruptedAtMillis;
      millis = Math.min(millis, RESUME_WAIT_LIMIT_MILLIS - interruptedMillis);
    }
    if (kvHandle.isPresent()) {
      long usableMillis = (long) (profile.prefillRetentionMillis() * KV_HANDLE_USE_FRACTION);
      millis = Math.min(millis, kvHandleSinceMillis + usableMillis - context.nowMillis());
    }
    return millis;
  }

  /** Handles what is decided about a placement for one search. */
  private final class PlacementWait implements StreamPlacer.AdmissionResult {
    private final long search;

    PlacementWait(long search) {
      this.search = search;
    }

    @Override
    public void onPlacement(Optional<StreamPlacement> placement) {
      if (isCurrentSearch(search)) {
        cancelAttemptTimer();
        StreamingCall.this.onPlacement(placement);
      } else if (!hasStandby()) {
        placer.release();
      }
    }

    @Override
    public void onQueued() {
      if (isCurrentSearch(search)) {
        startAttemptTimer(confirmMillis(), StreamingCall.this::place);
      }
    }

    @Override
    public void onRefused(long retryAfterMillis) {
      if (!isCurrentSearch(search)) {
        return;
      }
      cancelAttemptTimer();
      if (exchange.isResponseStarted()) {
        startAttemptTimer(placer.retryDelayMillis(), StreamingCall.this::place);
        return;
      }
      refuse(
          "no engine has capacity in time for a call of rank " + rank(),
          CapacityWaitPolicy.spreadRetryMillis(
              retryAfterMillis, remainingMillis(), context.random().getAsDouble()));
    }
  }

  private void onPlacement(Optional<StreamPlacement> placement) {
    if (placement.isPresent()) {
      timeline.recordPlacement(context.nowMillis());
    }
    if (placement.isPresent() && kvHandle.isPresent()) {
      EndpointEntry engine = placement.get().decode();
      beginWork(engine.id(), new EndpointWorkload(1, 0, usage.initialMemoryTokens()));
      startDecode(engine, kvHandle, 0);
    } else if (placement.isPresent()) {
      StreamPlacement selected = placement.get();
      permits.whenPermitted(selected.decode(), () -> startUnread(selected), this::place);
    } else if (exchange.isResponseStarted()
        || context.nowMillis() - startedMillis < capacityPolicy.waitMillis(route.targetMillis())) {
      startAttemptTimer(placer.retryDelayMillis(), this::place);
    } else {
      refuse(
          "no engine has capacity for a call that is " + capacityPolicy,
          CapacityWaitPolicy.retryAfterMillis(remainingMillis(), context.random().getAsDouble()));
    }
  }

  /** Starts a stream whose prompt has not been processed yet and whose decode is permitted. */
  private void startUnread(StreamPlacement selected) {
    selected
        .prefill()
        .ifPresentOrElse(
            prefillEngine ->
                permits.whenPermitted(
                    prefillEngine, () -> startPrefill(prefillEngine, selected), this::place),
            () -> runUnsplit(selected));
  }

  @Override
  protected List<Object> timings() {
    return List.of(
        "placedMillis",
        timeline.placedMillis(),
        "readMillis",
        timeline.prefilledMillis(),
        "longestPauseMillis",
        timeline.longestGapMillis());
  }

  private void releaseKvCache() {
    kvHandle.ifPresent(this::freeKvCache);
    kvHandle = Optional.empty();
  }

  @Override
  protected void onStandbyKept() {
    standbyKvHandle = kvHandle;
    kvHandle = Optional.empty();
  }

  @Override
  protected void onStandbyLeft() {
    standbyKvHandle.ifPresent(this::freeKvCache);
    standbyKvHandle = Optional.empty();
  }

  @Override
  protected void onSearchCancelled() {
    releaseKvCache();
    kvHandle = standbyKvHandle;
    standbyKvHandle = Optional.empty();
    placer.release();
  }

  @Override
  protected void onFinished() {
    releaseKvCache();
    placer.release();
  }

  private void freeKvCache(KvHandle handle) {
    int colon = handle.address().lastIndexOf(':');
    context.metrics().counter("prefill.freed").inc();
    context
        .pool()
        .send(
            handle.address().substring(0, colon),
            Integer.parseInt(handle.address().substring(colon + 1)),
            context.codec().encodeRelease(handle),
            Buffer.buffer(),
            ResponseMatcher.ofOther(Optional.empty(), context.codec()::requestId),
            BufferedResponseListener.ignored());
  }

  private void startPrefill(EndpointEntry engine, StreamPlacement placement) {
    if (refuseIfQuarantined()) {
      return;
    }
    if (!ledger.tryReservePrefill(context.nowMillis())) {
      splitRuledOut = true;
      place();
      return;
    }
    ledger.recordPrefillSent();
    final PrefillAttempt attempt = new PrefillAttempt(engine, placement.decode());
    long promptTokens = usage.promptTokens();
    beginWork(engine.id(), new EndpointWorkload(1, promptTokens, promptTokens));
    beginWork(placement.decode().id(), new EndpointWorkload(1, 0, usage.initialMemoryTokens()));
    send(engine, dispatch(engine, true, Optional.empty(), call.resumeAfter()), attempt);
    long timeoutMillis = (long) (PREFILL_TIMEOUT_FACTOR * placement.expectedFirstEventMillis());
    startAttemptTimer(Math.max(MIN_PREFILL_TIMEOUT_MILLIS, timeoutMillis), attempt::onTimeout);
  }

  private void runUnsplit(StreamPlacement placement) {
    beginWork(
        placement.decode().id(),
        new EndpointWorkload(1, usage.promptTokens(), usage.initialMemoryTokens()));
    startDecode(placement.decode(), Optional.empty(), (long) placement.expectedFirstEventMillis());
  }

  private void startDecode(
      EndpointEntry engine, Optional<KvHandle> fetchedHandle, long expectedMillis) {
    permits.whenPermitted(
        engine,
        () -> sendDecode(engine, fetchedHandle, expectedMillis),
        () -> {
          endWork(engine.id());
          place();
        });
  }

  private void sendDecode(
      EndpointEntry engine, Optional<KvHandle> fetchedHandle, long expectedMillis) {
    if (refuseIfQuarantined()) {
      return;
    }
    if (!ledger.tryReserveRun(context.nowMillis())) {
      endWork(engine.id());
      proceed(ledger.giveUp(), "no retry left after a failed prefill");
      return;
    }
    Optional<String> resumeAfter = lastEventId.isPresent() ? lastEventId : call.resumeAfter();
    ledger.recordSend(engine.id());
    DecodeAttempt attempt = new DecodeAttempt(engine, fetchedHandle.isPresent());
    send(engine, dispatch(engine, false, fetchedHandle, resumeAfter), attempt);
    if (route.isRepeatable()) {
      startAttemptTimer(expectedMillis + FIRST_EVENT_GRACE_MILLIS, attempt::onTimeout);
    }
  }

  /** One prefill request; handles its response. */
  private final class PrefillAttempt implements ResponseListener {
    private final EndpointEntry engine;
    private final EndpointEntry decodeEngine;
    private final EndpointHealth health;
    private final long sentMillis = context.nowMillis();
    private final Buffer body = Buffer.buffer();
    private final EngineSpeedObserver speed;
    private ResponseHead head;

    PrefillAttempt(EndpointEntry engine, EndpointEntry decodeEngine) {
      this.engine = engine;
      this.decodeEngine = decodeEngine;
      this.speed = EngineSpeedObserver.ofPrefill(context, engine, usage.promptTokens());
      this.health = context.health().get(engine.id());
    }

    @Override
    public void onHead(ResponseHead response) {
      head = response;
      ResponseKind kind = context.codec().classify(response, call.requestId());
      recordNotice(engine, response, kind, response.isSuccess(), sentMillis);
    }

    @Override
    public void onBody(Buffer bytes) {
      body.appendBuffer(bytes);
    }

    @Override
    public void onComplete() {
      cancelAttemptTimer();
      endWork(engine.id());
      if (!head.isSuccess()) {
        ResponseKind kind = context.codec().classify(head, call.requestId());
        if (kind.isNotRun()) {
          health.markMisdirected(context.nowMillis());
          placer.reportFault(engine.id(), EngineFault.MISDIRECTED);
        } else {
          health.recordFailure(context.nowMillis());
        }
        fallBack("status " + head.status());
        return;
      }
      context
          .codec()
          .decodeKvHandle(body.getBytes())
          .peek(this::onPrefilled)
          .peekLeft(fault -> fallBack(fault.message()));
    }

    @Override
    public void onFailure(TransportFailure cause) {
      cancelAttemptTimer();
      onNoResponse(cause, cause.name());
    }

    void onTimeout() {
      abortRequest();
      onNoResponse(TransportFailure.SILENT, "silent");
    }

    private void onNoResponse(TransportFailure cause, String reason) {
      endWork(engine.id());
      recordFailure(health, cause);
      if (cause.isEndpointFault()) {
        placer.reportFault(engine.id(), EngineFault.LOST);
      }
      if (!cause.mayHaveReachedEndpoint()) {
        ledger.recordPrefillNotSent();
      }
      fallBack(reason);
    }

    private void onPrefilled(String handle) {
      prefillMillis = context.nowMillis() - sentMillis;
      ledger.recordPrefillAccepted();
      timeline.recordPrefill(context.nowMillis());
      speed.onPrefilled();
      KvHandle receivedHandle = new KvHandle(engine.address(), handle);
      kvHandle = Optional.of(receivedHandle);
      lastPrefillEngine = Optional.of(engine.id());
      kvHandleSinceMillis = context.nowMillis();
      if (context.health().get(decodeEngine.id()).isUnreachable() || !acceptsCalls(decodeEngine)) {
        endWork(decodeEngine.id());
        place();
        return;
      }
      startDecode(decodeEngine, kvHandle, 0);
    }

    private void fallBack(String reason) {
      endWork(decodeEngine.id());
      failedPrefillEngines.add(engine.id());
      context.metrics().counter("prefill.failed").inc();
      context
          .log()
          .failure(
              "prefill.failed",
              "requestId",
              call.requestId(),
              "endpoint",
              engine.id(),
              "why",
              reason);
      place();
    }
  }

  /** One decode request; passes its events on. */
  private final class DecodeAttempt implements ResponseListener, StandbyAttempt {
    private final EndpointEntry engine;
    private final EventSplitter splitter = EventSplitter.of(MAX_EVENT_BYTES);
    private final boolean fetchesKvCache;
    private final double estimatedFill;
    private final EndpointHealth health;
    private final EngineSpeedObserver speed;
    private final long sentMillis = context.nowMillis();
    private ResponseHead head;
    private ResponseKind kind;
    private Buffer errorBody = Buffer.buffer();
    private boolean receivedEvent;
    private long progressMillis = sentMillis;
    private long firstEventAtMillis;
    private boolean survived;
    private long producedTokens;

    DecodeAttempt(EndpointEntry engine, boolean fetchesKvCache) {
      this.engine = engine;
      this.fetchesKvCache = fetchesKvCache;
      long usedTokens = context.work().total(engine.id(), sentMillis).memoryTokens();
      this.estimatedFill = (double) usedTokens / Math.max(1, profile.memoryTokens());
      this.health = context.health().get(engine.id());
      this.speed =
          EngineSpeedObserver.ofDecode(context, engine, fetchesKvCache ? 0 : usage.promptTokens());
    }

    @Override
    public void onHead(ResponseHead response) {
      head = response;
      kind = context.codec().classify(response, call.requestId());
      recordNotice(engine, response, kind, kind == ResponseKind.GENUINE, sentMillis);
      if (isStream() && exchange.isResponseStarted() && !mediaType(response).equals(mediaType)) {
        kind = ResponseKind.UNPROVED;
      }
      if (isStream() && isStandby(this)) {
        standbyKvHandle = Optional.empty();
      } else if (isStream()) {
        replaceStandby(engine);
        kvHandle = Optional.empty();
        if (fetchesKvCache) {
          lastPrefillEngine.ifPresent(
              id -> context.health().get(id).recordSuccess(sentMillis, prefillMillis));
        }
      }
    }

    @Override
    public long maxBodyBytes() {
      return isStream() ? Long.MAX_VALUE : MAX_BUFFERED_BODY_BYTES;
    }

    private boolean isStream() {
      return kind == ResponseKind.GENUINE && head.isSuccess();
    }

    @Override
    public void onBody(Buffer bytes) {
      if (!isStream()) {
        errorBody.appendBuffer(bytes);
        return;
      }
      List<byte[]> events;
      try {
        events = splitter.append(bytes.getBytes());
      } catch (IllegalArgumentException e) {
        context
            .log()
            .failure("stream.unreadable", "requestId", call.requestId(), "why", e.getMessage());
        if (!isStandby(this)) {
          abortRequest();
        }
        onInterrupted(TransportFailure.NOT_HTTP);
        return;
      }
      if (events.isEmpty()) {
        return;
      }
      if (isStandby(this)) {
        cancelSearch("the engine goes on");
      }
      events.forEach(this::forward);
      lastEventId = splitter.lastEventId().or(() -> lastEventId);
      if (route.isRepeatable()) {
        awaitProgress();
      }
    }

    @Override
    public EndpointEntry endpoint() {
      return engine;
    }

    @Override
    public long silentMillis() {
      return context.nowMillis() - progressMillis;
    }

    @Override
    public void awaitProgress() {
      startAttemptTimer(NEXT_EVENT_TIMEOUT_MILLIS, this::onTimeout);
    }

    private static Optional<String> mediaType(ResponseHead response) {
      return HeaderField.firstValue(response.headers(), "Content-Type")
          .map(value -> value.replaceFirst(";.*", "").trim().toLowerCase(Locale.ROOT));
    }

    private void forward(byte[] event) {
      brokeOffInsideEvent = false;
      if (!exchange.isResponseStarted()) {
        mediaType = mediaType(head);
      }
      trackMemory();
      progressMillis = context.nowMillis();
      if (!survived && millisSinceFirstEvent() >= SURVIVED_AFTER_MILLIS) {
        survived = true;
        recordServed();
      }
      timeline.recordEvent(context.nowMillis());
      exchange.startResponse(head.status(), context.codec().callerHeaders(head));
      exchange.write(Buffer.buffer(event));
      speed.onEvent(exchange.isWriteQueueFull());
      applyBackpressure();
    }

    private long millisSinceFirstEvent() {
      return context.nowMillis() - firstEventAtMillis;
    }

    /** Tracks the engine memory that the stream occupies, which grows with the response. */
    private void trackMemory() {
      if (!receivedEvent) {
        receivedEvent = true;
        firstEventAtMillis = context.nowMillis();
        speed.onFirstEvent();
        endWork(engine.id());
        beginWork(engine.id(), new EndpointWorkload(1, 0, usage.initialMemoryTokens()));
      }
      producedTokens += profile.tokensPerEvent();
      if (producedTokens > usage.initialOutputTokens()) {
        beginWork(engine.id(), new EndpointWorkload(0, 0, profile.tokensPerEvent()));
      }
    }

    @Override
    public void onComplete() {
      if (isStandby(this)) {
        if (!isFinalResponse()) {
          onStandbyEnded();
          return;
        }
        cancelSearch("the engine has ended its response");
      }
      cancelAttemptTimer();
      endWork(engine.id());
      long nowMillis = context.nowMillis();
      if (kind.isNotRun()) {
        EngineFault fault =
            kind == ResponseKind.MISDIRECTED ? EngineFault.MISDIRECTED : EngineFault.REFUSED;
        fault.updateHealth(nowMillis, health);
        placer.reportFault(engine.id(), fault);
        if (fetchesKvCache && kind == ResponseKind.NOT_RUN) {
          onFetchRefused(nowMillis);
        }
        proceed(ledger.onRefused(nowMillis), describeRefusal());
      } else if (kind == ResponseKind.GENUINE && head.isSuccess()) {
        onStreamEnd(nowMillis);
      } else if (kind == ResponseKind.GENUINE) {
        onErrorResponse(nowMillis);
      } else {
        health.recordFailure(nowMillis);
        proceed(
            ledger.onFailed(nowMillis),
            "engine "
                + engine.id()
                + " sent a response without proof of its origin or of another type");
      }
    }

    @Override
    public void onLeft() {
      recordPartialEvent();
      placer.reportFault(engine.id(), EngineFault.LOST);
    }

    /** Returns whether the response, which is complete, can be passed on as the call's response. */
    private boolean isFinalResponse() {
      if (kind != ResponseKind.GENUINE) {
        return false;
      }
      return isStream()
          ? isCompleteStream()
          : head.status() < FIRST_SERVER_ERROR && !exchange.isResponseStarted();
    }

    /** Handles a response of a silent engine that cannot be passed on; the search goes on. */
    private void onStandbyEnded() {
      long nowMillis = context.nowMillis();
      if (kind.isNotRun()) {
        ledger.onRefused(nowMillis);
      }
      endStandby("responded with status " + head.status());
      health.recordFailure(nowMillis);
    }

    /** Describes the circumstances of a refusal, since engines give no reason. */
    private String describeRefusal() {
      return String.format(
          Locale.ROOT,
          "engine %s refused with status %d, estimated memory usage %.2f, %s",
          engine.id(),
          head.status(),
          estimatedFill,
          fetchesKvCache
              ? "fetching the KV cache of " + lastPrefillEngine.map(EndpointId::value).orElse("?")
              : "without KV cache");
    }

    /**
     * Drops a KV cache that is assumed lost, and avoids its prefill engine, whose other caches may
     * be lost as well.
     */
    private void onFetchRefused(long nowMillis) {
      refusedFetches++;
      if (refusedFetches
          < (estimatedFill > LIKELY_FULL_FRACTION
              ? MAX_REFUSED_FETCHES_IF_FULL
              : MAX_REFUSED_FETCHES)) {
        return;
      }
      releaseKvCache();
      refusedFetches = 0;
      lastPrefillEngine.ifPresent(
          id -> {
            failedPrefillEngines.add(id);
            context.health().get(id).recordFailure(nowMillis);
          });
    }

    /**
     * Tells whether the stream has ended whole. The engine before may have broken off after its
     * last event; a run that adds nothing then ends the stream if its own end is explicit.
     */
    private boolean isCompleteStream() {
      boolean mayLackOnlyEnd = exchange.isResponseStarted() && !brokeOffInsideEvent;
      return splitter.isAtEventBoundary() && (receivedEvent || (mayLackOnlyEnd && head.chunked()));
    }

    private void onStreamEnd(long nowMillis) {
      if (!isCompleteStream()) {
        onInterrupted(TransportFailure.CONNECTION_LOST);
        return;
      }
      health.recordSuccess(nowMillis, nowMillis - sentMillis);
      recordServed();
      exchange.end();
      complete(head.status(), engine.id(), timeline.firstEventMillis());
    }

    /** Passes an engine's error response on, unless another engine can run the request. */
    private void onErrorResponse(long nowMillis) {
      if (head.status() >= FIRST_SERVER_ERROR) {
        health.recordFailure(nowMillis);
        if (ledger.onFailed(nowMillis) == RetryDecision.AGAIN) {
          proceed(
              RetryDecision.AGAIN,
              "engine " + engine.id() + " responded with status " + head.status());
          return;
        }
      }
      String reason = "engine " + engine.id() + " responded with status " + head.status();
      if (exchange.isResponseStarted()) {
        abortResponse(reason);
        return;
      }
      if (head.status() >= FIRST_SERVER_ERROR && returnToStandby(reason)) {
        return;
      }
      exchange.respond(head.status(), context.codec().callerHeaders(head), errorBody);
      complete(head.status(), engine.id(), nowMillis - startedMillis);
    }

    @Override
    public void onFailure(TransportFailure cause) {
      onInterrupted(cause);
    }

    void onTimeout() {
      if (exchange.isWriteQueueFull()) {
        // The response is paused because the caller does not read.
        awaitProgress();
        return;
      }
      boolean searches = ledger.onFailed(context.nowMillis()) == RetryDecision.AGAIN;
      recordSilence(engine, silentMillis(), searches);
      if (!searches) {
        awaitProgress();
      } else if (hasStandby()) {
        abortRequest();
        onInterrupted(TransportFailure.SILENT);
      } else {
        recordFailure(health, TransportFailure.SILENT);
        interruptedAtMillis = context.nowMillis();
        searchBeside(this);
      }
    }

    /** Records that more events are to come if the run ended or was left in the middle of one. */
    private void recordPartialEvent() {
      brokeOffInsideEvent = brokeOffInsideEvent || !splitter.isAtEventBoundary();
    }

    private void onInterrupted(TransportFailure cause) {
      recordPartialEvent();
      if (!receivedEvent || millisSinceFirstEvent() < JUST_BEGUN_MILLIS) {
        recordEngineLoss(engine, cause);
      }
      if (isStandby(this)) {
        recordFailure(health, cause);
        endStandby(cause.name());
        return;
      }
      cancelAttemptTimer();
      endWork(engine.id());
      recordFailure(health, cause);
      if (cause.isEndpointFault()) {
        placer.reportFault(engine.id(), EngineFault.LOST);
      }
      interruptedAtMillis = context.nowMillis();
      if (cause.mayHaveReachedEndpoint()) {
        releaseKvCache();
      }
      String reason = "engine " + engine.id() + ": " + cause;
      RetryDecision step =
          cause.mayHaveReachedEndpoint()
              ? ledger.onFailed(context.nowMillis())
              : ledger.onNotSent();
      proceed(step, reason);
    }
  }
}
