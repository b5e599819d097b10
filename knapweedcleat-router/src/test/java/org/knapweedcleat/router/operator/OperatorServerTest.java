package org.knapweedcleat.router.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.audit.DocumentSource;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.Member;

class OperatorServerTest {

  private static final String HOST = "127.0.0.1";

  private final StubBackend backend = new StubBackend();
  private Vertx vertx;
  private WebClient client;
  private int port;

  @BeforeEach
  void start() {
    vertx = Vertx.vertx();
    client = WebClient.create(vertx);
    port = OperatorServer.create(vertx, backend, HOST, 0).start().await().indefinitely();
  }

  @AfterEach
  void stop() {
    vertx.close().await();
  }

  @Test
  void reportsReadiness() {
    assertThat(get("/ready").statusCode(), is(200));
    backend.state.set(InstanceState.JOINING);

    HttpResponse<Buffer> response = get("/ready");

    assertThat(response.statusCode(), is(503));
    assertThat(response.bodyAsJsonObject().getBoolean("ready"), is(false));
    assertThat(response.bodyAsJsonObject().getString("reason"), is("JOINING"));
    assertThat(get("/live").statusCode(), is(200));
  }

  @Test
  void servesMetricsAsPrometheusTextAndJson() {
    backend.metrics.counter("limit.over-rate.kayseri-a").inc(3);

    assertThat(get("/metrics").bodyAsString(), containsString("\nlimit_over_rate_kayseri_a 3.0"));
    assertThat(
        get("/metrics.json")
            .bodyAsJsonObject()
            .getJsonObject("counters")
            .getJsonObject("limit.over-rate.kayseri-a")
            .getInteger("count"),
        is(3));
  }

  @Test
  void servesStatus() {
    JsonObject status = get("/status").bodyAsJsonObject();

    assertThat(status.getString("incarnation"), is("a-1~2a"));
    assertThat(status.getLong("revision"), is(7L));
    assertThat(status.getJsonArray("schedulerOf"), is(new JsonArray().add("horn")));
    JsonObject member = status.getJsonArray("members").getJsonObject(0);
    assertThat(member.getString("incarnation"), is("a-1~2a"));
    assertThat(member.getInteger("peerPort"), is(9_000));
  }

  @Test
  void servesAuditTrailAndCountOfMissedEvents() {
    backend.audit.record(new AuditEvent.KeyGiven("families-1", AccountId.of("families")));
    backend.audit.record(new AuditEvent.DrainStarted());
    backend.audit.record(
        new AuditEvent.DocumentApplied(
            Revision.of(7), "ab", List.of("pool horn"), DocumentSource.PEER));

    JsonObject page = get("/audit?after=0").bodyAsJsonObject();

    assertThat(
        page,
        is(
            new JsonObject(
                """
                {"next": 3, "missed": 1, "entries": [
                  {"number": 2, "atMillis": 5, "kind": "DRAIN_STARTED"},
                  {"number": 3, "atMillis": 5, "kind": "DOCUMENT_APPLIED", "revision": 7,
                   "digest": "ab", "sections": ["pool horn"], "source": "PEER"}]}
                """)));
    assertThat(
        get("/audit?after=3").bodyAsJsonObject(),
        is(new JsonObject("{\"next\": 3, \"missed\": 0, \"entries\": []}")));
    assertThat(get("/audit?after=-1").statusCode(), is(400));
  }

  @Test
  void startsDrainOnlyByPost() {
    assertThat(get("/drain").statusCode(), is(405));
    assertThat(get("/drains").bodyAsJsonObject().getString("error"), is("NO_ROUTE"));
    assertThat(backend.drains.get(), is(0));
    assertThat(send(HttpMethod.POST, "/drain").statusCode(), is(202));
    assertThat(backend.drains.get(), is(1));
  }

  private HttpResponse<Buffer> get(String path) {
    return send(HttpMethod.GET, path);
  }

  private HttpResponse<Buffer> send(HttpMethod method, String path) {
    return client.request(method, port, HOST, path).send().await();
  }

  /** Returns fixed values and counts drain requests. */
  private static final class StubBackend implements OperatorBackend {

    private final AtomicReference<InstanceState> state = new AtomicReference<>(InstanceState.READY);
    private final RingAuditTrail audit = RingAuditTrail.of(2, () -> 5);
    private final MetricRegistry metrics = new MetricRegistry();
    private final AtomicInteger drains = new AtomicInteger();

    @Override
    public InstanceState state() {
      return state.get();
    }

    @Override
    public Uni<InstanceStatus> status() {
      InstanceId instance = InstanceId.of("a-1");
      IncarnationId incarnation = IncarnationId.of(instance, 42);
      FailureDomainId domain = FailureDomainId.of("a");
      return Uni.createFrom()
          .item(
              new InstanceStatus(
                  instance,
                  incarnation,
                  domain,
                  state.get(),
                  Revision.of(7),
                  "ab",
                  12,
                  List.of(new Member(incarnation, domain, HOST, 9_000, false)),
                  List.of(PoolId.of("horn")),
                  List.of(AccountId.of("families")),
                  3,
                  0));
    }

    @Override
    public RingAuditTrail audit() {
      return audit;
    }

    @Override
    public MetricRegistry metrics() {
      return metrics;
    }

    @Override
    public void drain() {
      drains.incrementAndGet();
    }
  }
}
