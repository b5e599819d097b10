package org.knapweedcleat.router.placement;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.CacheHint;
import org.knapweedcleat.core.schedule.EndpointLoad;
import org.knapweedcleat.router.http.HttpClients;

/** Polls engines of pools that this instance schedules for their load and cache events. */
public final class LoadPoller {

  private static final int TIMEOUT_MILLIS = 1000;
  private static final int FAILURE_THRESHOLD = 2;
  private static final int HTTP_OK = 200;

  private final WebClient client;
  private final LocalSchedulers schedulers;
  private final MetricRegistry metrics;
  private final ObjectMapper json =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private final Map<EndpointId, Integer> consecutiveFailures = new HashMap<>();
  private final Map<EndpointId, Long> cacheEventCursors = new HashMap<>();
  private final Set<EndpointId> pollsInFlight = new HashSet<>();

  private LoadPoller(WebClient client, LocalSchedulers schedulers, MetricRegistry metrics) {
    this.client = client;
    this.schedulers = schedulers;
    this.metrics = metrics;
  }

  /**
   * Returns an idle poller.
   *
   * @param vertx the Vert.x instance that runs the HTTP client
   * @param schedulers receives the load reports and cache events
   * @param metrics counts polls and failures
   * @return the poller
   */
  public static LoadPoller create(Vertx vertx, LocalSchedulers schedulers, MetricRegistry metrics) {
    WebClientOptions options = new WebClientOptions();
    options.setConnectTimeout(TIMEOUT_MILLIS);
    options.setFollowRedirects(false);
    WebClient client = HttpClients.createWebClientWithoutReuse(vertx, options);
    return new LoadPoller(
        client, Objects.requireNonNull(schedulers, "schedulers"), Objects.requireNonNull(metrics));
  }

  /**
   * Polls each engine once, except those whose previous poll is still in flight.
   *
   * @param engines the engines of the pools that this instance schedules
   */
  public void poll(List<EndpointSpec> engines) {
    Set<EndpointId> polled = engines.stream().map(EndpointSpec::id).collect(Collectors.toSet());
    consecutiveFailures.keySet().retainAll(polled);
    cacheEventCursors.keySet().retainAll(polled);
    engines.stream().filter(engine -> pollsInFlight.add(engine.id())).forEach(this::pollLoad);
  }

  /** Closes all connections. */
  public void close() {
    client.close();
  }

  private void pollLoad(EndpointSpec engine) {
    metrics.counter("schedule.polls").inc();
    httpGet(engine, "/v1/load")
        .map(body -> parse(body, LoadBody.class))
        .onSuccess(load -> onLoad(engine, load))
        .onFailure(cause -> onFailure(engine))
        .compose(load -> pollCacheEvents(engine))
        .onComplete(result -> pollsInFlight.remove(engine.id()));
  }

  private Future<Void> pollCacheEvents(EndpointSpec engine) {
    long after = cacheEventCursors.getOrDefault(engine.id(), 0L);
    return httpGet(engine, "/v1/cache-events?after=" + after)
        .map(body -> parse(body, CacheBody.class))
        .onSuccess(events -> onCacheEvents(engine, events))
        .mapEmpty();
  }

  private Future<Buffer> httpGet(EndpointSpec engine, String path) {
    return client
        .get(engine.port(), engine.host(), path)
        .timeout(TIMEOUT_MILLIS)
        .send()
        .compose(LoadPoller::requireOk);
  }

  private static Future<Buffer> requireOk(HttpResponse<Buffer> response) {
    return response.statusCode() == HTTP_OK
        ? Future.succeededFuture(response.bodyAsBuffer())
        : Future.failedFuture(new IllegalStateException("status " + response.statusCode()));
  }

  private <T> T parse(Buffer body, Class<T> type) {
    try {
      return json.readValue(body.getBytes(), type);
    } catch (IOException e) {
      throw new IllegalArgumentException("not a " + type.getSimpleName(), e);
    }
  }

  private void onLoad(EndpointSpec engine, LoadBody load) {
    consecutiveFailures.remove(engine.id());
    schedulers.applyLoad(engine.pool(), load.toLoad(engine.id()));
  }

  private void onFailure(EndpointSpec engine) {
    metrics.counter("schedule.polls.failed").inc();
    int count = consecutiveFailures.merge(engine.id(), 1, Integer::sum);
    if (count >= FAILURE_THRESHOLD) {
      schedulers.endpointFailed(engine.pool(), engine.id());
    }
  }

  private void onCacheEvents(EndpointSpec engine, CacheBody body) {
    cacheEventCursors.put(engine.id(), body.next());
    for (CacheEntry event : body.events()) {
      boolean stored = event.kind().equals("STORED");
      schedulers.applyCacheHint(engine.pool(), new CacheHint(engine.id(), event.hash(), stored));
    }
  }

  private record LoadBody(
      int usedPieces,
      int totalPieces,
      int queuedPrefillTokens,
      int runningDecodes,
      List<String> held) {
    EndpointLoad toLoad(EndpointId endpoint) {
      List<RequestId> requests = held.stream().map(RequestId::of).toList();
      return new EndpointLoad(
          endpoint, usedPieces, totalPieces, queuedPrefillTokens, runningDecodes, requests);
    }
  }

  private record CacheBody(long next, List<CacheEntry> events) {}

  private record CacheEntry(long number, long hash, String kind) {}
}
