package org.knapweedcleat.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.standins.fault.Answers;
import org.knapweedcleat.standins.fault.FaultGate;
import org.knapweedcleat.standins.fault.KeyWatch;

/** Serves the calls of one engine; all its state belongs to one event loop. */
final class EngineServer extends VerticleBase {

  private static final int OK_STATUS = 200;
  private static final int CONFLICT_STATUS = 409;
  private static final int NOT_FOUND_STATUS = 404;
  private static final int EVICTED_STATUS = 410;
  private static final int BUSY_STATUS = 503;
  private static final int LOAD_REPORT_MILLIS = 20;

  private final EngineSettings settings;
  private final EngineCounts counts = EngineCounts.create();
  private final KeyWatch keys = KeyWatch.create();
  private final DecodeMemory memory;
  private final PrefixCache cache;
  private final LoadReports reports;
  private DecodeBatch batch;
  private PrefillQueue prefills;
  private KvStore kvStore;
  private KvImporter importer;
  private long highestFencingNumber;

  private EngineServer(EngineSettings settings) {
    this.settings = settings;
    this.memory = DecodeMemory.of(settings.pieces());
    this.cache = PrefixCache.of(settings.prefixBlocks(), settings.cacheGapEvery());
    this.reports = LoadReports.of(settings.loadLagMillis());
  }

  static EngineServer of(EngineSettings settings) {
    return new EngineServer(settings);
  }

  @Override
  public Future<?> start() {
    batch = DecodeBatch.of(vertx, settings, counts, memory::release);
    kvStore = KvStore.of(vertx, settings, counts);
    prefills = PrefillQueue.of(vertx, settings, cache, this::prefilled);
    importer = KvImporter.of(vertx, memory);
    reportLoad();
    vertx.setPeriodic(LOAD_REPORT_MILLIS, id -> reportLoad());
    return vertx
        .createHttpServer()
        .requestHandler(routes())
        .listen(settings.port(), settings.host());
  }

  private Router routes() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false));
    router.route().handler(keys::look);
    FaultGate faults = FaultGate.of(vertx, router);
    post(router, faults, "reserve", this::reserve);
    post(router, faults, "prefill", this::prefill);
    post(router, faults, "import", this::importKv);
    post(router, faults, "decode", this::decode);
    post(router, faults, "cancel", this::cancel);
    post(router, faults, "orders", this::order);
    router.get("/v1/kv/:handle").handler(faults.at("kv")).handler(this::exportKv);
    router.get("/v1/load").handler(faults.at("load")).handler(this::load);
    router.get("/v1/cache-events").handler(faults.at("cache-events")).handler(this::cacheEvents);
    router.post("/standin/stall").handler(this::stall);
    router.post("/standin/slow").handler(this::slow);
    router.post("/standin/restart").handler(this::restart);
    router.get("/standin/counts").handler(this::counts);
    return router;
  }

  private static void post(
      Router router, FaultGate faults, String stage, Handler<RoutingContext> handler) {
    router.post("/v1/" + stage).handler(faults.at(stage)).handler(handler);
  }

  private void reserve(RoutingContext context) {
    Calls.Reserve call = context.body().asPojo(Calls.Reserve.class);
    counts.call("reserve", call.request(), call.attempt());
    Optional<DecodeMemory.Holding> holding = memory.reserve(call);
    if (holding.isEmpty()) {
      Answers.error(context, CONFLICT_STATUS, "MEMORY");
      return;
    }
    vertx.setTimer(Math.max(1, call.holdMillis()), id -> expire(call.request(), holding.get()));
    Answers.json(context, OK_STATUS, new Replies.Granted(true));
  }

  private void expire(String request, DecodeMemory.Holding holding) {
    if (memory.holds(request, holding) && !holding.imported()) {
      memory.release(request);
    }
  }

  private void prefill(RoutingContext context) {
    Calls.Prefill call = context.body().asPojo(Calls.Prefill.class);
    counts.call("prefill", call.request(), call.attempt());
    if (!prefills.add(new PrefillJob(call, priority(context), context))) {
      Answers.error(context, BUSY_STATUS, "BUSY");
    }
  }

  private void prefilled(PrefillJob job, int computedTokens) {
    counts.prefilled(computedTokens);
    String handle = kvStore.put(job, computedTokens);
    Replies.Prefilled reply =
        new Replies.Prefilled(
            handle,
            job.promptTokens(),
            computedTokens,
            kvStore.kvBytes(job.promptTokens()),
            settings.evictMillis());
    Answers.json(job.context(), OK_STATUS, reply);
  }

  private void importKv(RoutingContext context) {
    Calls.Import call = context.body().asPojo(Calls.Import.class);
    counts.call("import", call.request(), call.attempt());
    importer.handle(context, call);
  }

  private void exportKv(RoutingContext context) {
    Optional<Buffer> bytes = kvStore.take(context.pathParam("handle"));
    if (bytes.isEmpty()) {
      Answers.error(context, EVICTED_STATUS, "EVICTED");
      return;
    }
    Answers.send(context, OK_STATUS, bytes.get());
  }

  private void decode(RoutingContext context) {
    Calls.Decode call = context.body().asPojo(Calls.Decode.class);
    counts.call("decode", call.request(), call.attempt());
    Optional<DecodeMemory.Holding> holding =
        memory.find(call.request(), call.attempt()).filter(DecodeMemory.Holding::imported);
    if (holding.isEmpty()) {
      Answers.error(context, NOT_FOUND_STATUS, "NO_RESERVATION");
      return;
    }
    context.response().putHeader("Content-Type", "text/event-stream").setChunked(true);
    batch.add(DecodeStream.of(call, holding.get().seed(), priority(context), context.response()));
  }

  private void cancel(RoutingContext context) {
    String request = context.body().asPojo(Calls.Cancel.class).request();
    counts.call("cancel", request, 0);
    batch.cut(request);
    boolean released = memory.release(request);
    released |= prefills.cancel(request);
    released |= kvStore.cancel(request);
    Answers.json(context, OK_STATUS, new Replies.Released(released));
  }

  private void order(RoutingContext context) {
    Calls.Order order = context.body().asPojo(Calls.Order.class);
    if (settings.checksFencing() && order.fencingNumber() < highestFencingNumber) {
      Answers.error(context, CONFLICT_STATUS, "OLD_FENCING_NUMBER");
      return;
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    counts.order(order);
    Answers.json(context, OK_STATUS, new Replies.Accepted(true));
  }

  private void load(RoutingContext context) {
    Answers.json(context, OK_STATUS, reports.oldest());
  }

  private void cacheEvents(RoutingContext context) {
    long after = Long.parseLong(context.request().getParam("after", "0"));
    Answers.json(context, OK_STATUS, cache.eventsAfter(after, System.currentTimeMillis()));
  }

  private void stall(RoutingContext context) {
    long millis = Long.parseLong(context.request().getParam("millis"));
    batch.stall(millis);
    prefills.stall(millis);
    Answers.ok(context);
  }

  private void slow(RoutingContext context) {
    int factor = Integer.parseInt(context.request().getParam("factor"));
    batch.slow(factor);
    prefills.slow(factor);
    Answers.ok(context);
  }

  /** Forgets everything, as an engine does that was started again. */
  private void restart(RoutingContext context) {
    batch.cutAll();
    prefills.clear();
    kvStore.clear();
    memory.clear();
    cache.clear();
    highestFencingNumber = 0;
    Answers.ok(context);
  }

  private void counts(RoutingContext context) {
    Answers.json(context, OK_STATUS, counts.report(usedPieces(), held(), keys.seen()));
  }

  private void reportLoad() {
    Replies.Load load =
        new Replies.Load(
            usedPieces(), settings.pieces(), prefills.queuedTokens(), batch.running(), held());
    reports.add(System.currentTimeMillis(), load);
  }

  private int usedPieces() {
    return memory.usedPieces() + kvStore.usedPieces();
  }

  private List<String> held() {
    List<String> held = new ArrayList<>(memory.held());
    held.addAll(prefills.requests());
    held.addAll(kvStore.requests());
    return held;
  }

  private static int priority(RoutingContext context) {
    return Integer.parseInt(
        context.request().getHeader("X-Priority") == null
            ? "0"
            : context.request().getHeader("X-Priority"));
  }
}
