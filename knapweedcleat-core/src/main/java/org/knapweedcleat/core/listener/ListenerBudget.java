package org.knapweedcleat.core.listener;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the connections of one listener and the memory that they hold, by choosing connections to
 * close.
 *
 * <p>A connection whose request is complete and waits for its response is never chosen, since the
 * request may be running. A single connection that holds memory is never chosen for it, since one
 * request inside the limits is served when there is no other load.
 */
public final class ListenerBudget {

  /** A connection that received or read nothing for this time makes no progress. */
  private static final long SILENT_MILLIS = 500;

  /** A client that has just connected gets this time to send its request. */
  private static final long NEW_CONNECTION_MILLIS = 100;

  private final ListenerLimits limits;
  private final Map<Long, ConnectionState> connections = new HashMap<>();
  private long heldBytes;

  private ListenerBudget(ListenerLimits limits) {
    this.limits = limits;
  }

  /**
   * Returns a budget without connections.
   *
   * @param limits the listener's limits
   * @return the budget
   */
  public static ListenerBudget of(ListenerLimits limits) {
    return new ListenerBudget(limits);
  }

  /**
   * Adds a connection.
   *
   * @param connection its number, not used before
   * @param nowMillis the current time
   * @return the connection to close if there are too many: the one that has been silent the longest
   *     without a complete request, or the new one
   */
  public Optional<Eviction> opened(long connection, long nowMillis) {
    Optional<Eviction> eviction = Optional.empty();
    if (connections.size() >= limits.maxConnections()) {
      eviction =
          connections.values().stream()
              .filter(state -> state.heldBytes() == 0 || state.isWaiting())
              .filter(state -> state.silentMillis(nowMillis) >= NEW_CONNECTION_MILLIS)
              .max(Comparator.comparingLong(state -> state.silentMillis(nowMillis)))
              .map(state -> evict(state, CloseReason.CONNECTIONS));
      if (eviction.isEmpty()) {
        return Optional.of(new Eviction(connection, CloseReason.CONNECTIONS, 0));
      }
    }
    connections.put(connection, new ConnectionState(connection, nowMillis));
    return eviction;
  }

  /**
   * Records what a connection holds.
   *
   * @param connection the number of the connection; unknown ones are ignored
   * @param usage what it holds now
   * @param nowMillis the current time
   * @return the connections to close
   */
  public List<Eviction> update(long connection, ConnectionUsage usage, long nowMillis) {
    ConnectionState state = connections.get(connection);
    if (state == null) {
      return List.of();
    }
    heldBytes += usage.heldBytes() - state.heldBytes();
    state.update(
        usage.heldBytes(), usage.movedBytes(), usage.waitsForClient(), usage.inHead(), nowMillis);
    if (usage.headerLines() > limits.maxHeaderLines()) {
      return List.of(evict(state, CloseReason.HEADER_LINES));
    }
    List<Eviction> evictions = new ArrayList<>();
    while (heldBytes > limits.memoryBytes()) {
      Optional<ConnectionState> largest = largestWithoutProgress(nowMillis);
      if (largest.isEmpty()) {
        break;
      }
      evictions.add(evict(largest.get(), CloseReason.MEMORY));
    }
    return evictions;
  }

  /**
   * Finds connections whose request or response has stalled.
   *
   * @param nowMillis the current time
   * @return the connections to close
   */
  public List<Eviction> tick(long nowMillis) {
    return connections.values().stream()
        .filter(state -> state.isStalled(nowMillis, limits.requestMillis()))
        .toList()
        .stream()
        .map(state -> evict(state, CloseReason.STALLED))
        .toList();
  }

  /**
   * Removes a connection; has no effect if it is unknown.
   *
   * @param connection its number
   */
  public void closed(long connection) {
    ConnectionState state = connections.remove(connection);
    if (state != null) {
      heldBytes -= state.heldBytes();
    }
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  public int openConnections() {
    return connections.size();
  }

  /**
   * Returns the memory that all connections hold.
   *
   * @return bytes
   */
  public long heldBytes() {
    return heldBytes;
  }

  private Optional<ConnectionState> largestWithoutProgress(long nowMillis) {
    return connections.values().stream()
        .filter(state -> state.isWaiting() && state.heldBytes() > 0)
        .filter(state -> state.heldBytes() < heldBytes)
        .max(
            Comparator.<ConnectionState, Boolean>comparing(
                    state -> state.silentMillis(nowMillis) >= SILENT_MILLIS)
                .thenComparingLong(ConnectionState::heldBytes)
                .thenComparingLong(ConnectionState::number));
  }

  private Eviction evict(ConnectionState state, CloseReason reason) {
    closed(state.number());
    return new Eviction(state.number(), reason, state.heldBytes());
  }
}
