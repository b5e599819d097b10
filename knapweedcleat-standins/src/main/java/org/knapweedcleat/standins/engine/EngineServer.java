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
import org.knapweedcleat.standins.fault.ApiKeyLeakDetector;
import org.knapweedcleat.standins.fault.FaultInjector;
import org.knapweedcleat.standins.fault.ResponseSender;

/** HTTP server of an engine stub. All state is confined to its event loop. */
final class EngineServer extends VerticleBase {

  private static final int OK_STATUS = 200;
  private static final int CONFLICT_STATUS = 409;
  private static final int NOT_FOUND_STATUS = 404;
  private static final int EVICTED_STATUS = 410;
  private static final int BUSY_STATUS = 503;
  private static final int LOAD_SAMPLE_INTERVAL_MILLIS = 20;

  private final EngineSettings settings;
  private final EngineCounters counters = EngineCounters.create();
  private final ApiKeyLeakDetector keyLeaks = ApiKeyLeakDetector.create();
  private final DecodeMemoryAllocator memory;
  private final PrefixCache prefixCache;
  private final DelayedLoadReports loadReports;
  private DecodeBatch decodeBatch;
  private PrefillQueue prefillQueue;
  private KvCacheStore kvCacheStore;
  private KvImporter importer;
  private long highestFencingNumber;

  private EngineServer(EngineSettings settings) {
    this.settings = settings;
    this.memory = DecodeMemoryAllocator.of(settings.pieces());
    this.prefixCache = PrefixCache.of(settings.prefixBlocks(), settings.cacheGapEvery());
    this.loadReports = DelayedLoadReports.of(settings.loadLagMillis());
  }

  static EngineServer of(EngineSettings settings) {
    return new EngineServer(settings);
  }

  @Override
  public Future<?> start() {
    decodeBatch = DecodeBatch.of(vertx, settings, counters, memory::release);
    kvCacheStore = KvCacheStore.of(vertx, settings, counters);
    prefillQueue = PrefillQueue.of(vertx, settings, prefixCache, this::onPrefillFinished);
    importer = KvImporter.of(vertx, memory);
    sampleLoad();
    vertx.setPeriodic(LOAD_SAMPLE_INTERVAL_MILLIS, id -> sampleLoad());
    return vertx
        .createHttpServer()
        .requestHandler(createRouter())
        .listen(settings.port(), settings.host());
  }

  private Router createRouter() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false));
    router.route().handler(keyLeaks::inspect);
    FaultInjector faults = FaultInjector.of(vertx, router);
    addPostRoute(router, faults, "reserve", this::reserve);
    addPostRoute(router, faults, "prefill", this::prefill);
    addPostRoute(router, faults, "import", this::importKv);
    addPostRoute(router, faults, "decode", this::decode);
    addPostRoute(router, faults, "cancel", this::cancel);
    addPostRoute(router, faults, "orders", this::order);
    router.get("/v1/kv/:handle").handler(faults.handlerFor("kv")).handler(this::exportKv);
    router.get("/v1/load").handler(faults.handlerFor("load")).handler(this::load);
    router
        .get("/v1/cache-events")
        .handler(faults.handlerFor("cache-events"))
        .handler(this::cacheEvents);
    router.post("/standin/stall").handler(this::stall);
    router.post("/standin/slow").handler(this::slow);
    router.post("/standin/restart").handler(this::restart);
    router.get("/standin/counts").handler(this::counts);
    return router;
  }

  private static void addPostRoute(
      Router router, FaultInjector faults, String stage, Handler<RoutingContext> handler) {
    router.post("/v1/" + stage).handler(faults.handlerFor(stage)).handler(handler);
  }

  private void reserve(RoutingContext context) {
    EngineRequests.Reserve call = context.body().asPojo(EngineRequests.Reserve.class);
    counters.recordCall("reserve", call.request(), call.attempt());
    Optional<DecodeMemoryAllocator.Reservation> reservation = memory.reserve(call);
    if (reservation.isEmpty()) {
      ResponseSender.sendError(context, CONFLICT_STATUS, "MEMORY");
      return;
    }
    vertx.setTimer(
        Math.max(1, call.holdMillis()), id -> expireReservation(call.request(), reservation.get()));
    ResponseSender.sendJson(context, OK_STATUS, new EngineResponses.Granted(true));
  }

  private void expireReservation(String request, DecodeMemoryAllocator.Reservation reservation) {
    if (memory.isCurrent(request, reservation) && !reservation.imported()) {
      memory.release(request);
    }
  }

  private void prefill(RoutingContext context) {
    EngineRequests.Prefill call = context.body().asPojo(EngineRequests.Prefill.class);
    counters.recordCall("prefill", call.request(), call.attempt());
    if (!prefillQueue.add(new PrefillJob(call, priority(context), context))) {
      ResponseSender.sendError(context, BUSY_STATUS, "BUSY");
    }
  }

  private void onPrefillFinished(PrefillJob job, int computedTokens) {
    counters.recordPrefill(computedTokens);
    String handle = kvCacheStore.put(job, computedTokens);
    EngineResponses.Prefilled response =
        new EngineResponses.Prefilled(
            handle,
            job.promptTokens(),
            computedTokens,
            kvCacheStore.kvBytes(job.promptTokens()),
            settings.evictMillis());
    ResponseSender.sendJson(job.context(), OK_STATUS, response);
  }

  private void importKv(RoutingContext context) {
    EngineRequests.Import call = context.body().asPojo(EngineRequests.Import.class);
    counters.recordCall("import", call.request(), call.attempt());
    importer.importKv(context, call);
  }

  private void exportKv(RoutingContext context) {
    Optional<Buffer> bytes = kvCacheStore.remove(context.pathParam("handle"));
    if (bytes.isEmpty()) {
      ResponseSender.sendError(context, EVICTED_STATUS, "EVICTED");
      return;
    }
    ResponseSender.sendBytes(context, OK_STATUS, bytes.get());
  }

  private void decode(RoutingContext context) {
    EngineRequests.Decode call = context.body().asPojo(EngineRequests.Decode.class);
    counters.recordCall("decode", call.request(), call.attempt());
    Optional<DecodeMemoryAllocator.Reservation> reservation =
        memory
            .find(call.request(), call.attempt())
            .filter(DecodeMemoryAllocator.Reservation::imported);
    if (reservation.isEmpty()) {
      ResponseSender.sendError(context, NOT_FOUND_STATUS, "NO_RESERVATION");
      return;
    }
    context.response().putHeader("Content-Type", "text/event-stream").setChunked(true);
    decodeBatch.add(
        DecodeStream.of(call, reservation.get().seed(), priority(context), context.response()));
  }

  private void cancel(RoutingContext context) {
    String request = context.body().asPojo(EngineRequests.Cancel.class).request();
    counters.recordCall("cancel", request, 0);
    decodeBatch.abort(request);
    boolean released = memory.release(request);
    released |= prefillQueue.cancel(request);
    released |= kvCacheStore.cancel(request);
    ResponseSender.sendJson(context, OK_STATUS, new EngineResponses.Released(released));
  }

  private void order(RoutingContext context) {
    EngineRequests.Order order = context.body().asPojo(EngineRequests.Order.class);
    if (settings.checksFencing() && order.fencingNumber() < highestFencingNumber) {
      ResponseSender.sendError(context, CONFLICT_STATUS, "OLD_FENCING_NUMBER");
      return;
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    counters.recordOrder(order);
    ResponseSender.sendJson(context, OK_STATUS, new EngineResponses.Accepted(true));
  }

  private void load(RoutingContext context) {
    ResponseSender.sendJson(context, OK_STATUS, loadReports.visibleReport());
  }

  private void cacheEvents(RoutingContext context) {
    long after = Long.parseLong(context.request().getParam("after", "0"));
    ResponseSender.sendJson(
        context, OK_STATUS, prefixCache.eventsAfter(after, System.currentTimeMillis()));
  }

  private void stall(RoutingContext context) {
    long millis = Long.parseLong(context.request().getParam("millis"));
    decodeBatch.stall(millis);
    prefillQueue.stall(millis);
    ResponseSender.sendDone(context);
  }

  private void slow(RoutingContext context) {
    int factor = Integer.parseInt(context.request().getParam("factor"));
    decodeBatch.setSlowFactor(factor);
    prefillQueue.setSlowFactor(factor);
    ResponseSender.sendDone(context);
  }

  /** Discards all requests and cached data, as a restarted engine would. */
  private void restart(RoutingContext context) {
    decodeBatch.abortAll();
    prefillQueue.clear();
    kvCacheStore.clear();
    memory.clear();
    prefixCache.clear();
    highestFencingNumber = 0;
    ResponseSender.sendDone(context);
  }

  private void counts(RoutingContext context) {
    ResponseSender.sendJson(
        context,
        OK_STATUS,
        counters.snapshot(usedPieces(), requestsHoldingMemory(), keyLeaks.leakedCalls()));
  }

  private void sampleLoad() {
    EngineResponses.Load load =
        new EngineResponses.Load(
            usedPieces(),
            settings.pieces(),
            prefillQueue.queuedTokens(),
            decodeBatch.activeCount(),
            requestsHoldingMemory());
    loadReports.add(System.currentTimeMillis(), load);
  }

  private int usedPieces() {
    return memory.usedPieces() + kvCacheStore.usedPieces();
  }

  private List<String> requestsHoldingMemory() {
    List<String> held = new ArrayList<>(memory.requests());
    held.addAll(prefillQueue.requests());
    held.addAll(kvCacheStore.requests());
    return held;
  }

  private static int priority(RoutingContext context) {
    return Integer.parseInt(
        context.request().getHeader("X-Priority") == null
            ? "0"
            : context.request().getHeader("X-Priority"));
  }
}
