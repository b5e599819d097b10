package org.knapweedcleat.router.caller;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.ApiKeySpec;
import org.knapweedcleat.core.config.CallSafety;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.EndpointState;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.PoolKind;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.router.gate.DocumentKeyAuthenticator;

/** Runs the caller server of one instance for tests, with scripted endpoints. */
final class CallerServerFixture implements AutoCloseable {

  static final String KEY = "key-one";
  static final String OTHER_KEY = "key-two";
  static final int DEADLINE_MILLIS = 4_000;

  private static final TeamId TEAM = TeamId.of("team");
  private static final FailureDomainId DOMAIN = FailureDomainId.of("domain-a");
  private static final PoolId ENGINES = PoolId.of("engines");
  private static final PoolId PLAIN_ENDPOINTS = PoolId.of("desks");

  final Vertx vertx = Vertx.vertx();
  final FakeServices services = new FakeServices();
  final MetricRegistry metrics = new MetricRegistry();
  final InvariantMonitor monitor = InvariantMonitor.of(metrics);
  final AtomicLong clockSkipMillis = new AtomicLong();
  final List<AuditEvent> auditEvents = new CopyOnWriteArrayList<>();
  final CallerServer server;
  final int port;
  private final Map<EndpointId, EndpointSpec> endpoints = new HashMap<>();
  private final List<ApiKeySpec> keys = new ArrayList<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private int revision;

  private CallerServerFixture(String instance) {
    keys.add(key("one", "account-one", KEY));
    keys.add(key("two", "account-two", OTHER_KEY));
    publish();
    CallerContext context =
        new CallerContext(
            IncarnationId.of(InstanceId.of(instance), 7),
            DOMAIN,
            services,
            DocumentKeyAuthenticator.of(services),
            services,
            services,
            services,
            () -> System.nanoTime() / 1_000_000 + clockSkipMillis.get(),
            new Random(5)::nextLong,
            metrics,
            monitor,
            auditEvents::add,
            new CallerLimits(10_000, 4_000, 100, 60_000));
    server = CallerServer.create(vertx, context, "127.0.0.1", 0);
    port = server.start().await().indefinitely();
  }

  static CallerServerFixture start() {
    return new CallerServerFixture("instance-1");
  }

  static CallerServerFixture start(String instance) {
    return new CallerServerFixture(instance);
  }

  /** Declares an active endpoint at a local port. */
  void declareEndpoint(String id, EndpointRole role, int endpointPort) {
    declareEndpoint(id, role, endpointPort, EndpointState.ACTIVE);
  }

  void declareEndpoint(String id, EndpointRole role, int endpointPort, EndpointState state) {
    PoolId pool = role.isEngine() ? ENGINES : PLAIN_ENDPOINTS;
    EndpointId endpoint = EndpointId.of(id);
    endpoints.put(
        endpoint,
        new EndpointSpec(
            endpoint, pool, role, DOMAIN, "127.0.0.1", endpointPort, 20, true, state, TEAM));
    publish();
  }

  /** Withdraws all keys with a name and publishes the new document. */
  FleetSnapshot withdrawKeys(String keyName) {
    keys.removeIf(key -> key.name().equals(keyName));
    return publish();
  }

  FleetSnapshot publish() {
    revision++;
    FleetSnapshot snapshot = new FleetSnapshot(Revision.of(revision), "d" + revision, document());
    services.snapshot = Optional.of(snapshot);
    return snapshot;
  }

  HttpResponse<String> post(String path, String body, String... headers) {
    return postAs(KEY, path, body, headers);
  }

  HttpResponse<String> postAs(String key, String path, String body, String... headers) {
    return send(request(key, "POST", path, body, headers));
  }

  HttpResponse<String> get(String path) {
    return send(KEY, "GET", path, "");
  }

  HttpResponse<String> send(String key, String method, String path, String body) {
    return send(request(key, method, path, body, new String[0]));
  }

  private HttpResponse<String> send(HttpRequest request) {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  HttpRequest request(String method, String path, String body, String... headers) {
    return request(KEY, method, path, body, headers);
  }

  private HttpRequest request(
      String key, String method, String path, String body, String[] headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Authorization", "Bearer " + key);
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return builder.build();
  }

  HttpClient client() {
    return client;
  }

  static String promptBody(int maxTokens, boolean stream) {
    return new JsonObject()
        .put("prompt", "tune the horn")
        .put("maxTokens", maxTokens)
        .put("stream", stream)
        .encode();
  }

  /** Waits without a time limit until a condition holds. */
  static void waitUntil(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  @Override
  public void close() {
    vertx.close().await();
  }

  private FleetDocument document() {
    return new FleetDocument(
        "test",
        Map.of(),
        Map.of(),
        List.of(),
        Map.of(
            ENGINES, new PoolSpec(ENGINES, PoolKind.SPLIT, "horn", 1, 800, TEAM),
            PLAIN_ENDPOINTS, new PoolSpec(PLAIN_ENDPOINTS, PoolKind.PLAIN, "", 0, 0, TEAM)),
        Map.of(
            ServiceId.of("notes"), service("notes", ENGINES),
            ServiceId.of("desk"), service("desk", PLAIN_ENDPOINTS)),
        List.of(
            route("note", "POST", "/notes", "notes", CallSafety.IDEMPOTENT, false),
            route("slots", "GET", "/slots", "desk", CallSafety.IDEMPOTENT, false),
            route("open", "GET", "/open", "desk", CallSafety.IDEMPOTENT, true),
            route("book", "POST", "/book", "desk", CallSafety.AT_MOST_ONCE, false)),
        Map.of(
            AccountId.of("account-one"), account("account-one"),
            AccountId.of("account-two"), account("account-two")),
        keys,
        endpoints);
  }

  private static ServiceSpec service(String id, PoolId pool) {
    return new ServiceSpec(ServiceId.of(id), pool, 500, 50, DEADLINE_MILLIS, 100, 3, 60_000, TEAM);
  }

  private static RouteSpec route(
      String name, String method, String path, String service, CallSafety safety, boolean open) {
    return new RouteSpec(name, method, path, ServiceId.of(service), safety, open, TEAM);
  }

  private static AccountSpec account(String id) {
    return new AccountSpec(AccountId.of(id), 100, 1_000, 1, Map.of(), TEAM);
  }

  private static ApiKeySpec key(String name, String account, String key) {
    return new ApiKeySpec(name, AccountId.of(account), KeyDigest.ofKey(key), TEAM);
  }
}
