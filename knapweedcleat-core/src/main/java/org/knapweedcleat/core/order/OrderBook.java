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
public final class OrderBook {

  static final long RETRY_MILLIS = 1_000;
  static final long REPEAT_MILLIS = 30_000;

  private final Map<EngineOrder, Entry> entries = new HashMap<>();
  private FencingNumber fencingNumber;

  private OrderBook() {}

  /**
   * Returns a book without orders.
   *
   * @return the book
   */
  public static OrderBook create() {
    return new OrderBook();
  }

  /**
   * Lists the orders that a document implies for an engine.
   *
   * @param engine the engine
   * @param document the document
   * @return the orders that may be given to it
   */
  public static List<EngineOrder> implied(EndpointSpec engine, FleetDocument document) {
    PoolSpec pool = document.pools().get(engine.pool());
    String role = engine.role().name().toLowerCase(Locale.ROOT);
    List<EngineOrder> orders =
        List.of(
            new EngineOrder(engine.id(), OrderKind.LOAD_MODEL, pool.model()),
            new EngineOrder(engine.id(), OrderKind.SET_ROLE, role));
    return orders.stream()
        .filter(order -> order.kind().mayBeGiven(engine.checksFencing()))
        .toList();
  }

  /**
   * Takes over what is wanted; what is no longer wanted is not sent again.
   *
   * @param orders the orders, complete
   * @param number the fencing number of new orders; a lower one than before is ignored with them
   */
  public void want(Set<EngineOrder> orders, FencingNumber number) {
    Objects.requireNonNull(number, "number");
    if (fencingNumber != null && number.compareTo(fencingNumber) < 0) {
      return;
    }
    entries.keySet().retainAll(orders);
    orders.forEach(order -> entries.computeIfAbsent(order, added -> new Entry()));
    if (!number.equals(fencingNumber)) {
      entries.values().forEach(Entry::makeDue);
    }
    fencingNumber = number;
  }

  /**
   * Lists the orders to send now; they are in flight until {@link #answered}.
   *
   * @param nowMillis the time
   * @return the orders
   */
  public List<OrderAction> due(long nowMillis) {
    List<OrderAction> actions = new ArrayList<>();
    entries.forEach(
        (order, entry) -> {
          if (entry.take(nowMillis)) {
            actions.add(new OrderAction(order, fencingNumber));
          }
        });
    return actions;
  }

  /**
   * Takes note of what became of an order.
   *
   * @param nowMillis the time
   * @param action the order as it was sent
   * @param answer what became of it
   * @return true if the engine accepted it for the first time under its fencing number
   */
  public boolean answered(long nowMillis, OrderAction action, OrderAnswer answer) {
    Entry entry = entries.get(action.order());
    if (entry == null) {
      return false;
    }
    boolean current = action.fencingNumber().equals(fencingNumber);
    return entry.answered(nowMillis, current, answer);
  }

  /**
   * Makes the orders of an engine due that may have restarted.
   *
   * @param endpoint the engine
   */
  public void mayHaveForgotten(EndpointId endpoint) {
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

    boolean take(long nowMillis) {
      if (inFlight || nowMillis < dueAtMillis) {
        return false;
      }
      inFlight = true;
      return true;
    }

    boolean answered(long nowMillis, boolean current, OrderAnswer answer) {
      inFlight = false;
      if (!current) {
        return false;
      }
      boolean done = answer == OrderAnswer.ACCEPTED;
      boolean first = done && !accepted;
      accepted = accepted || done;
      dueAtMillis = nowMillis + (answer == OrderAnswer.UNKNOWN ? RETRY_MILLIS : REPEAT_MILLIS);
      return first;
    }
  }
}
