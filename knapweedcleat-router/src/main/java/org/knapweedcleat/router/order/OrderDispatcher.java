package org.knapweedcleat.router.order;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.audit.AuditTrail;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.order.EngineOrder;
import org.knapweedcleat.core.order.FencingNumber;
import org.knapweedcleat.core.order.OrderResult;
import org.knapweedcleat.core.order.OrderTracker;
import org.knapweedcleat.core.order.OutgoingOrder;
import org.knapweedcleat.router.http.HttpClients;

/** Sends the orders implied by the document to engines of pools that this instance schedules. */
public final class OrderDispatcher {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;

  private final WebClient client;
  private final MetricRegistry metrics;
  private final AuditTrail audit;
  private final LongSupplier nowMillis;
  private final OrderTracker tracker = OrderTracker.create();
  private final Map<EndpointId, EndpointSpec> engines = new HashMap<>();

  private OrderDispatcher(
      WebClient client, MetricRegistry metrics, AuditTrail audit, LongSupplier nowMillis) {
    this.client = client;
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.audit = Objects.requireNonNull(audit, "audit");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
  }

  /**
   * Returns a dispatcher without orders.
   *
   * @param vertx the Vert.x instance that runs the HTTP client
   * @param metrics counts orders by result
   * @param audit records accepted orders
   * @param nowMillis the monotonic clock
   * @return the dispatcher
   */
  public static OrderDispatcher create(
      Vertx vertx, MetricRegistry metrics, AuditTrail audit, LongSupplier nowMillis) {
    WebClientOptions options = new WebClientOptions().setConnectTimeout(TIMEOUT_MILLIS);
    return new OrderDispatcher(
        HttpClients.createWebClientWithoutReuse(vertx, options), metrics, audit, nowMillis);
  }

  /**
   * Sends the orders that are due.
   *
   * @param scheduledEngines the engines of the pools that this instance schedules
   * @param snapshot the document in force
   * @param epoch the membership epoch
   */
  public void dispatchDueOrders(
      List<EndpointSpec> scheduledEngines, FleetSnapshot snapshot, long epoch) {
    engines.clear();
    Set<EngineOrder> orders = new HashSet<>();
    for (EndpointSpec engine : scheduledEngines) {
      engines.put(engine.id(), engine);
      orders.addAll(OrderTracker.ordersFor(engine, snapshot.document()));
    }
    tracker.setDesired(orders, FencingNumber.of(snapshot.revision(), epoch));
    tracker.takeDue(nowMillis.getAsLong()).forEach(this::send);
  }

  /** Closes all connections. */
  public void close() {
    client.close();
  }

  private void send(OutgoingOrder action) {
    EndpointSpec engine = engines.get(action.order().endpoint());
    client
        .post(engine.port(), engine.host(), "/v1/orders")
        .timeout(TIMEOUT_MILLIS)
        .sendJson(OrderBody.of(action))
        .map(OrderDispatcher::toResult)
        .otherwise(OrderResult.UNKNOWN)
        .onSuccess(result -> onResult(action, result));
  }

  private static OrderResult toResult(HttpResponse<Buffer> response) {
    return switch (response.statusCode()) {
      case HTTP_OK -> OrderResult.ACCEPTED;
      case HTTP_CONFLICT -> OrderResult.OLD_FENCING_NUMBER;
      default -> OrderResult.UNKNOWN;
    };
  }

  private void onResult(OutgoingOrder action, OrderResult result) {
    metrics.counter("orders." + result.name().toLowerCase(Locale.ROOT)).inc();
    if (tracker.recordResult(nowMillis.getAsLong(), action, result)) {
      EngineOrder order = action.order();
      String description = order.kind() + " " + order.subject();
      audit.record(new AuditEvent.EndpointOrdered(order.endpoint(), description, result.name()));
    }
  }

  private record OrderBody(String kind, String subject, long fencingNumber) {
    static OrderBody of(OutgoingOrder action) {
      EngineOrder order = action.order();
      return new OrderBody(order.kind().name(), order.subject(), action.fencingNumber().toLong());
    }
  }
}
