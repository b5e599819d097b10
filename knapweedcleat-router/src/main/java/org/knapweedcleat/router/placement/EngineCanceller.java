package org.knapweedcleat.router.placement;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;
import org.knapweedcleat.router.http.HttpClients;

/** Cancels orphaned requests at model engines over HTTP. */
public final class EngineCanceller implements OrphanCanceller {

  private static final int TIMEOUT_MILLIS = 1000;

  private final WebClient client;
  private final FleetSnapshotProvider fleet;
  private final MetricRegistry metrics;

  private EngineCanceller(WebClient client, FleetSnapshotProvider fleet, MetricRegistry metrics) {
    this.client = client;
    this.fleet = fleet;
    this.metrics = metrics;
  }

  /**
   * Returns a canceller.
   *
   * @param vertx the Vert.x instance that runs the HTTP client
   * @param fleet provides the addresses of endpoints
   * @param metrics counts cancellations sent and failed
   * @return the canceller
   */
  public static EngineCanceller create(
      Vertx vertx, FleetSnapshotProvider fleet, MetricRegistry metrics) {
    Objects.requireNonNull(fleet, "fleet");
    Objects.requireNonNull(metrics, "metrics");
    WebClientOptions options = new WebClientOptions().setConnectTimeout(TIMEOUT_MILLIS);
    return new EngineCanceller(
        HttpClients.createWebClientWithoutReuse(vertx, options), fleet, metrics);
  }

  @Override
  public void cancelOrphan(EndpointId endpoint, RequestId request) {
    Optional<EndpointSpec> engine =
        fleet
            .current()
            .map(snapshot -> snapshot.document().endpoints().get(endpoint))
            .filter(spec -> spec.role().isEngine());
    engine.ifPresent(spec -> sendCancel(spec, request));
  }

  /** Closes all connections. */
  public void close() {
    client.close();
  }

  private void sendCancel(EndpointSpec engine, RequestId request) {
    metrics.counter("schedule.orphans.cancelled").inc();
    client
        .post(engine.port(), engine.host(), "/v1/cancel")
        .putHeader("X-Request-Id", request.value())
        .timeout(TIMEOUT_MILLIS)
        .sendJson(new CancelBody(request.value()))
        .onFailure(cause -> metrics.counter("schedule.orphans.failed").inc());
  }

  private record CancelBody(String request) {}
}
