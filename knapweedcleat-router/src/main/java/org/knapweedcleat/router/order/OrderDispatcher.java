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
import org.knapweedcleat.core.order.OutgoingOrder;
import org.knapweedcleat.core.order.OrderResult;
import org.knapweedcleat.core.order.OrderTracker;

/** Gives engines the orders that the document implies, while their pool is scheduled here. */
public final class OrderDispatcher {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

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
   * Returns a desk without orders.
   *
   * @param vertx runs it
   * @param metrics counts orders by answer
   * @param audit takes the orders that were accepted
   * @param nowMillis the monotonic clock
   * @return the desk
   */
  public static OrderDispatcher create(
      Vertx vertx, MetricRegistry metrics, AuditTrail audit, LongSupplier nowMillis) {
    WebClientOptions options = new WebClientOptions().setConnectTimeout(TIMEOUT_MILLIS);
    return new OrderDispatcher(WebClient.create(vertx, options), metrics, audit, nowMillis);
  }

  /**
   * Sends the orders that are due.
   *
   * @param scheduled the engines of the pools that are scheduled here
   * @param snapshot the document in force
   * @param epoch the membership epoch
   */
  public void dispatchDueOrders(List<EndpointSpec> scheduled, FleetSnapshot snapshot, long epoch) {
    engines.clear();
    Set<EngineOrder> orders = new HashSet<>();
    for (EndpointSpec engine : scheduled) {
      engines.put(engine.id(), engine);
      orders.addAll(OrderTracker.ordersFor(engine, snapshot.document()));
    }
    tracker.setDesired(orders, FencingNumber.of(snapshot.revision(), epoch));
    tracker.takeDue(nowMillis.getAsLong()).forEach(this::send);
  }

  /** Closes the connections. */
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
        .onSuccess(answer -> onResult(action, answer));
  }

  private static OrderResult toResult(HttpResponse<Buffer> response) {
    return switch (response.statusCode()) {
      case OK -> OrderResult.ACCEPTED;
      case CONFLICT -> OrderResult.OLD_FENCING_NUMBER;
      default -> OrderResult.UNKNOWN;
    };
  }

  private void onResult(OutgoingOrder action, OrderResult answer) {
    metrics.counter("orders." + answer.name().toLowerCase(Locale.ROOT)).inc();
    if (tracker.recordResult(nowMillis.getAsLong(), action, answer)) {
      EngineOrder order = action.order();
      String told = order.kind() + " " + order.subject();
      audit.record(new AuditEvent.EndpointOrdered(order.endpoint(), told, answer.name()));
    }
  }

  private record OrderBody(String kind, String subject, long fencingNumber) {
    static OrderBody of(OutgoingOrder action) {
      EngineOrder order = action.order();
      return new OrderBody(order.kind().name(), order.subject(), action.fencingNumber().toLong());
    }
  }
}
