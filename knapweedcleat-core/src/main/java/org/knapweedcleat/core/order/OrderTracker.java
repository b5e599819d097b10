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
 * Repeats the orders that the document implies until each engine has accepted them, and again now
 * and then, since an engine may have restarted.
 *
 * <p>Any instance that believes to be scheduler may give orders: they are idempotent, and those
 * that must not come out of order go only to engines that check fencing numbers. All times are
 * milliseconds of one monotonic clock.
 */
public final class OrderTracker {

  static final long RETRY_MILLIS = 1_000;
  static final long REFRESH_MILLIS = 30_000;

  private final Map<EngineOrder, Entry> entries = new HashMap<>();
  private FencingNumber fencingNumber;

  private OrderTracker() {}

  /**
   * Returns a book without orders.
   *
   * @return the book
   */
  public static OrderTracker create() {
    return new OrderTracker();
  }

  /**
   * Lists the orders that a document implies for an engine.
   *
   * @param engine the engine
   * @param document the document
   * @return the orders that may be given to it
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
   * Takes over what is wanted; what is no longer wanted is not sent again.
   *
   * @param desired the orders, complete
   * @param newFencingNumber the fencing number of new orders; a lower one than before is ignored with them
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
   * Lists the orders to send now; they are in flight until {@link #recordResult}.
   *
   * @param nowMillis the time
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
   * Takes note of what became of an order.
   *
   * @param nowMillis the time
   * @param sent the order as it was sent
   * @param result what became of it
   * @return true if the engine accepted it for the first time under its fencing number
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
   * Makes the orders of an engine due that may have restarted.
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

    boolean recordResult(long nowMillis, boolean current, OrderResult answer) {
      inFlight = false;
      if (!current) {
        return false;
      }
      boolean done = answer == OrderResult.ACCEPTED;
      boolean first = done && !accepted;
      accepted = accepted || done;
      dueAtMillis = nowMillis + (answer == OrderResult.UNKNOWN ? RETRY_MILLIS : REFRESH_MILLIS);
      return first;
    }
  }
}
