package org.knapweedcleat.router.node;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.router.gate.FleetView;

/**
 * Shows the document in force only once it is certain that no live instance in reach knows a higher
 * one, so that an instance that starts beside a stale platform does not serve by an old document.
 */
final class Readiness implements FleetView {

  private final FleetView fleet;
  private final LongSupplier nowMillis;
  private final long readyFromMillis;
  private Revision highestAnnounced = Revision.NONE;
  private boolean ready;

  private Readiness(FleetView fleet, LongSupplier nowMillis, long listenMillis) {
    this.fleet = fleet;
    this.nowMillis = nowMillis;
    this.readyFromMillis = nowMillis.getAsLong() + listenMillis;
  }

  /**
   * Returns a readiness that begins now.
   *
   * @param fleet shows the document in force
   * @param nowMillis the monotonic clock
   * @param listenMillis how long to listen to other instances first
   */
  static Readiness of(FleetView fleet, LongSupplier nowMillis, long listenMillis) {
    return new Readiness(fleet, nowMillis, listenMillis);
  }

  /** Takes note of what another instance has in force. */
  void announced(Revision revision) {
    if (revision.isAfter(highestAnnounced)) {
      highestAnnounced = revision;
    }
  }

  /** Tells whether the instance may serve; once true it stays true. */
  boolean isReady() {
    ready = ready || hasListened() && hasHighest();
    return ready;
  }

  @Override
  public Optional<FleetSnapshot> current() {
    return isReady() ? fleet.current() : Optional.empty();
  }

  @Override
  public long unconfirmedMillis() {
    return fleet.unconfirmedMillis();
  }

  private boolean hasListened() {
    return nowMillis.getAsLong() >= readyFromMillis;
  }

  private boolean hasHighest() {
    return fleet
        .current()
        .filter(snapshot -> !highestAnnounced.isAfter(snapshot.revision()))
        .isPresent();
  }
}
