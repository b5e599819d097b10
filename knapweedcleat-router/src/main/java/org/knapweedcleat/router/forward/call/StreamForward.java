package org.knapweedcleat.router.forward.call;

import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointWork;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamNeed;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.forward.EventSplitter;
import org.knapweedcleat.core.forward.NextStep;
import org.knapweedcleat.core.forward.StreamTimeline;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.room.RoomPolicy;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.KvHandle;
import org.knapweedcleat.router.forward.codec.ReplyHead;
import org.knapweedcleat.router.forward.codec.ReplyNature;
import org.knapweedcleat.router.forward.codec.TokenUsage;
import org.knapweedcleat.router.forward.http.BrokenCause;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.CollectedReply;
import org.knapweedcleat.router.forward.http.ReplyListener;

/**
 * A call whose answer is a stream of events.
 *
 * <p>A prefill engine reads the prompt and a decode engine fetches the result, or a decode engine
 * does both. Only whole events are passed on; a stream that breaks goes on at another engine after
 * the last of them where its route allows that.
 */
final class StreamForward extends ForwardedCall {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  /** A prefill that takes this many times as long as expected is given up. */
  private static final double PREFILL_PATIENCE = 3;

  /**
   * The least time that a prefill gets: a round trip between regions, a long prompt on a slow
   * engine and the pause before an engine's first answer. Reading again elsewhere costs more than
   * the wait.
   */
  private static final long MIN_PREFILL_MILLIS = 600;

  /** How long a repeatable stream waits for its first event beyond the time expected. */
  private static final long FIRST_EVENT_MILLIS = 900;

  /** How long a resumable stream waits for its next event: callers give up after two seconds. */
  private static final long NEXT_EVENT_MILLIS = 1_000;

  /** How long a broken stream waits for room: callers give up after two seconds of silence. */
  private static final long RESUME_WAIT_MILLIS = 1_000;

  /**
   * A KV cache is taken as gone when so many engines refused it. In a large fleet one refusal
   * mostly comes of news that is too old to show how full the engine is.
   */
  private static final int MAX_REFUSED_FETCHES = 2;

  /** As {@link #MAX_REFUSED_FETCHES}, if the last of the engines seemed full. */
  private static final int MAX_REFUSED_BY_FULL = 3;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  /** An engine whose memory seems fuller than this may refuse for want of room. */
  private static final double LIKELY_FULL = 0.75;

  /** The part of a KV cache's life in which it is still offered to an engine. */
  private static final double HANDLE_PART = 0.7;

  private static final int FIRST_SERVER_ERROR = 500;

  private static final TokenUsage UNKNOWN_USAGE = new TokenUsage(1, 1);

  private final TokenUsage usage;
  private final EngineProfile profile;
  private final RoomPolicy room;
  private final StreamTimeline timeline;
  private final StreamPlacer placer;
  private final EventSplitter splitter = EventSplitter.of(MAX_EVENT_BYTES);
  private Optional<KvHandle> held = Optional.empty();
  private long heldSinceMillis;
  private Optional<EndpointId> reader = Optional.empty();
  private long prefillMillis;
  private final Set<EndpointId> failedReaders = new HashSet<>();
  private int refusedFetches;
  private boolean splitFailed;
  private long brokenAtMillis = NEVER_MILLIS;

  StreamForward(
      ForwardContext context,
      CallerExchange exchange,
      InboundCall call,
      ForwardRoute route,
      Optional<AccountQuota> account,
      long units) {
    super(context, exchange, call, route, account, units);
    this.timeline = StreamTimeline.began(beganMillis);
    this.placer = new StreamPlacer(context, service, call.requestId(), this::isOver);
    this.usage = call.usage().orElse(UNKNOWN_USAGE);
    this.room = RoomPolicy.of(context.punctuality().isLate(route, call.deadlineMillis()));
    this.profile =
        context
            .directory()
            .config()
            .flatMap(config -> config.service(service))
            .map(one -> one.engine())
            .orElse(EngineProfile.NONE);
  }

  @Override
  protected void place() {
    List<EndpointEntry> candidates = candidates();
    if (candidates.isEmpty() && !exchange.isBegun()) {
      refuseWithoutCandidates();
      return;
    }
    boolean keeps = context.nowMillis() - heldSinceMillis < profile.handleMillis() * HANDLE_PART;
    if (!keeps) {
      releaseHeld();
    }
    boolean forced =
        exchange.isBegun() && context.nowMillis() - brokenAtMillis >= RESUME_WAIT_MILLIS;
    StreamNeed need =
        new StreamNeed(
            held.isPresent() ? 0 : usage.promptTokens(),
            usage.firstMemory(),
            !splitFailed && held.isEmpty(),
            failedReaders,
            room.usableMemory(),
            forced,
            route.maxGapMillis());
    placer.find(
        new StreamPlacer.Wanted(candidates, ledger.tried(), profile, need, remainingMillis()),
        this::placed);
  }

  private void placed(Optional<StreamPlacement> placement) {
    if (placement.isPresent()) {
      timeline.placed(context.nowMillis());
    }
    if (placement.isPresent() && held.isPresent()) {
      EndpointEntry engine = placement.get().decode();
      beginWork(engine.id(), new EndpointWork(1, 0, usage.firstMemory()));
      run(engine, held, 0);
    } else if (placement.isPresent()) {
      StreamPlacement found = placement.get();
      found.prefill().ifPresentOrElse(reader -> prefill(reader, found), () -> alone(found));
    } else if (exchange.isBegun()
        || context.nowMillis() - beganMillis < room.waitMillis(route.targetMillis())) {
      patience(placer.retryMillis(), this::place);
    } else {
      refuse(
          "no engine has room for a call that is " + room,
          RoomPolicy.returnMillis(remainingMillis(), context.random().getAsDouble()));
    }
  }

  @Override
  protected List<Object> steps() {
    return List.of(
        "placedMillis",
        timeline.placedMillis(),
        "readMillis",
        timeline.readMillis(),
        "longestPauseMillis",
        timeline.longestPauseMillis());
  }

  private void releaseHeld() {
    held.ifPresent(this::free);
    held = Optional.empty();
  }

  @Override
  protected void onOver() {
    releaseHeld();
    placer.release();
  }

  private void free(KvHandle handle) {
    int colon = handle.address().lastIndexOf(':');
    context.metrics().counter("prefill.freed").inc();
    context
        .pool()
        .send(
            handle.address().substring(0, colon),
            Integer.parseInt(handle.address().substring(colon + 1)),
            context.codec().release(handle),
            Buffer.buffer(),
            head -> true,
            CollectedReply.ignored());
  }

  private void prefill(EndpointEntry reader, StreamPlacement placement) {
    if (!ledger.tryRead(context.nowMillis())) {
      splitFailed = true;
      place();
      return;
    }
    ledger.reading();
    final Prefill prefill = new Prefill(reader, placement.decode());
    long prompt = usage.promptTokens();
    beginWork(reader.id(), new EndpointWork(1, prompt, prompt));
    beginWork(placement.decode().id(), new EndpointWork(1, 0, usage.firstMemory()));
    send(reader, dispatch(reader, true, Optional.empty(), call.resumeAfter()), prefill);
    long patienceMillis = (long) (PREFILL_PATIENCE * placement.firstEventMillis());
    patience(Math.max(MIN_PREFILL_MILLIS, patienceMillis), prefill::tooSlow);
  }

  private void alone(StreamPlacement placement) {
    beginWork(
        placement.decode().id(), new EndpointWork(1, usage.promptTokens(), usage.firstMemory()));
    run(placement.decode(), Optional.empty(), (long) placement.firstEventMillis());
  }

  private void run(EndpointEntry engine, Optional<KvHandle> cache, long expectedMillis) {
    if (!ledger.tryRun(context.nowMillis())) {
      endWork(engine.id());
      follow(ledger.end(), "no repeat is left after a read that failed");
      return;
    }
    Optional<String> resumeAfter =
        splitter.lastId().isPresent() ? splitter.lastId() : call.resumeAfter();
    ledger.sent(engine.id());
    Run run = new Run(engine, cache.isPresent());
    send(engine, dispatch(engine, false, cache, resumeAfter), run);
    if (route.isRepeatable()) {
      patience(expectedMillis + FIRST_EVENT_MILLIS, run::tooSlow);
    }
  }

  /** Hears the answer to a prefill. */
  private final class Prefill implements ReplyListener {
    private final EndpointEntry source;
    private final EndpointEntry decode;
    private final boolean wasIdle;
    private final EndpointHealth health;
    private final long sentMillis = context.nowMillis();
    private final Buffer body = Buffer.buffer();
    private ReplyHead head;

    Prefill(EndpointEntry source, EndpointEntry decode) {
      this.source = source;
      this.decode = decode;
      this.wasIdle = context.work().at(source.id(), sentMillis).promptTokens() == 0;
      this.health = context.health().of(source.id());
    }

    @Override
    public void onHead(ReplyHead reply) {
      head = reply;
      noteNotice(source, reply, context.codec().nature(reply, call.requestId()));
    }

    @Override
    public void onBody(Buffer bytes) {
      body.appendBuffer(bytes);
    }

    @Override
    public void onEnd() {
      endPatience();
      endWork(source.id());
      if (!head.isSuccess()) {
        ReplyNature nature = context.codec().nature(head, call.requestId());
        if (nature.isNotRun()) {
          health.turnedAway(context.nowMillis());
          placer.failed(source.id(), EngineFault.MISDIRECTED);
        } else {
          health.failed(context.nowMillis());
        }
        failed("status " + head.status());
        return;
      }
      context
          .codec()
          .prefilled(body.getBytes())
          .peek(this::prefilled)
          .peekLeft(fault -> failed(fault.message()));
    }

    @Override
    public void onBroken(BrokenCause cause) {
      endPatience();
      lost(cause, cause.name());
    }

    void tooSlow() {
      abortSend();
      lost(BrokenCause.SILENT, "silent");
    }

    private void lost(BrokenCause cause, String why) {
      endWork(source.id());
      noteBroken(health, cause);
      placer.failed(source.id(), EngineFault.LOST);
      if (!cause.mayHaveArrived()) {
        ledger.readNotSent();
      }
      failed(why);
    }

    private void prefilled(String handle) {
      long tookMillis = context.nowMillis() - sentMillis;
      prefillMillis = tookMillis;
      ledger.readAccepted();
      timeline.read(context.nowMillis());
      if (wasIdle) {
        context.chooser().speed(service).observed(Math.max(1, usage.promptTokens()), tookMillis);
      }
      KvHandle cache = new KvHandle(source.address(), handle);
      held = Optional.of(cache);
      reader = Optional.of(source.id());
      heldSinceMillis = context.nowMillis();
      if (!stillTakesCalls(decode)) {
        endWork(decode.id());
        place();
        return;
      }
      run(decode, held, 0);
    }

    /** Tells whether the engine that was chosen before the prompt was read can get the run. */
    private boolean stillTakesCalls(EndpointEntry chosen) {
      return !context.health().of(chosen.id()).isUnreachable()
          && context.notices().isOpen(context.nowMillis(), chosen);
    }

    private void failed(String why) {
      endWork(decode.id());
      failedReaders.add(source.id());
      context.metrics().counter("prefill.failed").inc();
      context
          .log()
          .failure(
              "prefill.failed", "requestId", call.requestId(), "endpoint", source.id(), "why", why);
      place();
    }
  }

  /** Hears the events of a stream. */
  private final class Run implements ReplyListener {
    private final EndpointEntry engine;
    private final boolean fetches;
    private final double seemedFill;
    private final EndpointHealth health;
    private final long sentMillis = context.nowMillis();
    private ReplyHead head;
    private ReplyNature nature;
    private Buffer unstreamed = Buffer.buffer();
    private boolean heardEvent;
    private long producedTokens;

    Run(EndpointEntry engine, boolean fetches) {
      this.engine = engine;
      this.fetches = fetches;
      long taken = context.work().at(engine.id(), sentMillis).memoryTokens();
      this.seemedFill = (double) taken / Math.max(1, profile.memoryTokens());
      this.health = context.health().of(engine.id());
    }

    @Override
    public void onHead(ReplyHead reply) {
      head = reply;
      nature = context.codec().nature(reply, call.requestId());
      noteNotice(engine, reply, nature);
      if (nature == ReplyNature.GENUINE && reply.isSuccess()) {
        held = Optional.empty();
        if (fetches) {
          reader.ifPresent(id -> context.health().of(id).succeeded(sentMillis, prefillMillis));
        }
      }
    }

    @Override
    public long maxBodyBytes() {
      return isStream() ? Long.MAX_VALUE : MAX_HELD_BYTES;
    }

    private boolean isStream() {
      return nature == ReplyNature.GENUINE && head.isSuccess();
    }

    @Override
    public void onBody(Buffer bytes) {
      if (!isStream()) {
        unstreamed.appendBuffer(bytes);
        return;
      }
      List<byte[]> events;
      try {
        events = splitter.take(bytes.getBytes());
      } catch (IllegalArgumentException e) {
        context
            .log()
            .failure("stream.unreadable", "requestId", call.requestId(), "why", e.getMessage());
        abortSend();
        broken(BrokenCause.NOT_HTTP);
        return;
      }
      events.forEach(this::pass);
      if (!events.isEmpty() && route.isRepeatable()) {
        patience(NEXT_EVENT_MILLIS, this::tooSlow);
      }
    }

    private void pass(byte[] event) {
      countMemory();
      timeline.event(context.nowMillis());
      exchange.begin(head.status(), context.codec().answer(head));
      exchange.write(Buffer.buffer(event));
      pauseWhileBackedUp();
    }

    /** Counts what the run occupies: it has read its prompt, and its answer grows. */
    private void countMemory() {
      if (!heardEvent) {
        heardEvent = true;
        endWork(engine.id());
        beginWork(engine.id(), new EndpointWork(1, 0, usage.firstMemory()));
      }
      producedTokens += profile.tokensPerEvent();
      if (producedTokens > usage.firstOutput()) {
        beginWork(engine.id(), new EndpointWork(0, 0, profile.tokensPerEvent()));
      }
    }

    @Override
    public void onEnd() {
      endPatience();
      endWork(engine.id());
      long nowMillis = context.nowMillis();
      if (nature.isNotRun()) {
        EngineFault fault =
            nature == ReplyNature.MISDIRECTED ? EngineFault.MISDIRECTED : EngineFault.REFUSED;
        fault.note(nowMillis, health);
        placer.failed(engine.id(), fault);
        if (fetches && nature == ReplyNature.NOT_RUN) {
          fetchRefused(nowMillis);
        }
        follow(ledger.refused(nowMillis), refusal());
      } else if (nature == ReplyNature.GENUINE && head.isSuccess()) {
        ended(nowMillis);
      } else if (nature == ReplyNature.GENUINE) {
        failure(nowMillis);
      } else {
        health.failed(nowMillis);
        follow(ledger.broken(nowMillis), "engine " + engine.id() + " gave no proof");
      }
    }

    /** Says what is known of a refusal: engines give no reason. */
    private String refusal() {
      return String.format(
          Locale.ROOT,
          "engine %s refused with %d, its memory taken to %.2f, %s",
          engine.id(),
          head.status(),
          seemedFill,
          fetches ? "KV cache of " + reader.map(EndpointId::value).orElse("?") : "no KV cache");
    }

    /** Drops a KV cache that seems to be gone; its reader's others may be, too. */
    private void fetchRefused(long nowMillis) {
      refusedFetches++;
      if (refusedFetches < (seemedFill > LIKELY_FULL ? MAX_REFUSED_BY_FULL : MAX_REFUSED_FETCHES)) {
        return;
      }
      releaseHeld();
      refusedFetches = 0;
      reader.ifPresent(
          id -> {
            failedReaders.add(id);
            context.health().of(id).failed(nowMillis);
          });
    }

    private void ended(long nowMillis) {
      if (!splitter.isBetweenEvents() || !exchange.isBegun()) {
        broken(BrokenCause.CONNECTION_LOST);
        return;
      }
      health.succeeded(nowMillis, nowMillis - sentMillis);
      exchange.end();
      answered(head.status(), engine.id(), timeline.firstMillis());
    }

    /** Passes an engine's own failure on, unless another engine can run the request. */
    private void failure(long nowMillis) {
      if (head.status() >= FIRST_SERVER_ERROR) {
        health.failed(nowMillis);
        if (ledger.broken(nowMillis) == NextStep.AGAIN) {
          follow(NextStep.AGAIN, "engine " + engine.id() + " answered " + head.status());
          return;
        }
      }
      if (exchange.isBegun()) {
        breakOff("engine " + engine.id() + " answered " + head.status());
        return;
      }
      exchange.respond(head.status(), context.codec().answer(head), unstreamed);
      answered(head.status(), engine.id(), nowMillis - beganMillis);
    }

    @Override
    public void onBroken(BrokenCause cause) {
      broken(cause);
    }

    void tooSlow() {
      if (!ledger.canRepeat(context.nowMillis())) {
        return;
      }
      abortSend();
      broken(BrokenCause.SILENT);
    }

    private void broken(BrokenCause cause) {
      endPatience();
      endWork(engine.id());
      noteBroken(health, cause);
      placer.failed(engine.id(), EngineFault.LOST);
      splitter.dropPartial();
      brokenAtMillis = context.nowMillis();
      if (cause.mayHaveArrived()) {
        releaseHeld();
      }
      String why = "engine " + engine.id() + ": " + cause;
      NextStep step =
          cause.mayHaveArrived() ? ledger.broken(context.nowMillis()) : ledger.notSent();
      follow(step, why);
    }
  }
}
