package org.knapweedcleat.core.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Tracks the orders derived from the document. Each is retried until its engine accepts it, then
 * repeated periodically because the engine may have restarted.
 *
 * <p>Several instances may consider themselves scheduler and send orders at the same time. This is
 * safe because orders are idempotent, and those that must not be reordered are only sent to engines
 * that check fencing numbers. All times are milliseconds of one monotonic clock.
 */
public final class OrderTracker {

  static final long RETRY_MILLIS = 1_000;
  static final long REFRESH_MILLIS = 30_000;

  private final Map<EngineOrder, Entry> entries = new HashMap<>();
  private FencingNumber fencingNumber;

  private OrderTracker() {}

  /**
   * Returns a tracker without orders.
   *
   * @return the tracker
   */
  public static OrderTracker create() {
    return new OrderTracker();
  }

  /**
   * Returns the orders that a document requires for an engine.
   *
   * @param engine the engine
   * @param document the document
   * @return the orders that may be sent to the engine
   */
  public static List<EngineOrder> ordersFor(EndpointSpec engine, FleetDocument document) {
    PoolSpec pool = document.pools().get(engine.pool());
    String role = engine.role().name().toLowerCase(Locale.ROOT);
    List<EngineOrder> orders =
        List.of(
            new EngineOrder(engine.id(), OrderKind.LOAD_MODEL, pool.model()),
            new EngineOrder(engine.id(), OrderKind.SET_ROLE, role));
    return orders.stream()
        .filter(order -> order.kind().isAllowedFor(engine.checksFencing()))
        .toList();
  }

  /**
   * Replaces the desired orders. Orders that are no longer desired are not sent again.
   *
   * @param desired the complete set of desired orders
   * @param newFencingNumber the fencing number to send with the orders; if it is lower than the
   *     current one, the call has no effect
   */
  public void setDesired(Set<EngineOrder> desired, FencingNumber newFencingNumber) {
    Objects.requireNonNull(newFencingNumber, "number");
    if (fencingNumber != null && newFencingNumber.compareTo(fencingNumber) < 0) {
      return;
    }
    entries.keySet().retainAll(desired);
    desired.forEach(order -> entries.computeIfAbsent(order, added -> new Entry()));
    if (!newFencingNumber.equals(fencingNumber)) {
      entries.values().forEach(Entry::makeDue);
    }
    fencingNumber = newFencingNumber;
  }

  /**
   * Returns the orders that are due and marks them as in flight until {@link #recordResult}.
   *
   * @param nowMillis the current time
   * @return the orders
   */
  public List<OutgoingOrder> takeDue(long nowMillis) {
    List<OutgoingOrder> dueOrders = new ArrayList<>();
    entries.forEach(
        (order, entry) -> {
          if (entry.takeIfDue(nowMillis)) {
            dueOrders.add(new OutgoingOrder(order, fencingNumber));
          }
        });
    return dueOrders;
  }

  /**
   * Records the result of an order.
   *
   * @param nowMillis the current time
   * @param sent the order as it was sent
   * @param result the result
   * @return true if the engine accepted the order for the first time with its fencing number
   */
  public boolean recordResult(long nowMillis, OutgoingOrder sent, OrderResult result) {
    Entry entry = entries.get(sent.order());
    if (entry == null) {
      return false;
    }
    boolean currentFencing = sent.fencingNumber().equals(fencingNumber);
    return entry.recordResult(nowMillis, currentFencing, result);
  }

  /**
   * Makes all orders of an engine due, to be called if the engine may have restarted.
   *
   * @param endpoint the engine
   */
  public void resendAllTo(EndpointId endpoint) {
    entries.forEach(
        (order, entry) -> {
          if (order.endpoint().equals(endpoint)) {
            entry.makeDue();
          }
        });
  }

  private static final class Entry {
    private long dueAtMillis = Long.MIN_VALUE;
    private boolean inFlight;
    private boolean accepted;

    void makeDue() {
      dueAtMillis = Long.MIN_VALUE;
      accepted = false;
    }

    boolean takeIfDue(long nowMillis) {
      if (inFlight || nowMillis < dueAtMillis) {
        return false;
      }
      inFlight = true;
      return true;
    }

    boolean recordResult(long nowMillis, boolean currentFencing, OrderResult result) {
      inFlight = false;
      if (!currentFencing) {
        return false;
      }
      boolean nowAccepted = result == OrderResult.ACCEPTED;
      boolean firstAcceptance = nowAccepted && !accepted;
      accepted = accepted || nowAccepted;
      dueAtMillis = nowMillis + (result == OrderResult.UNKNOWN ? RETRY_MILLIS : REFRESH_MILLIS);
      return firstAcceptance;
    }
  }
}
