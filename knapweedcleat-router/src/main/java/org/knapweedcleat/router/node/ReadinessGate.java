package org.knapweedcleat.router.node;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;

/**
 * Shows the document in force only once the instance may serve.
 *
 * <p>No live instance in reach may know a higher document, so that an instance that starts beside a
 * stale platform does not serve by an old one. It also waits for its share of the client accounts,
 * since it would refuse callers that are inside their rate; but not for ever, since without the
 * platform's list it gets none and can still draw from others.
 */
final class ReadinessGate implements FleetSnapshotProvider {

  private final FleetSnapshotProvider fleet;
  private final LongSupplier nowMillis;
  private final FailureDomainId domain;
  private final BooleanSupplier ownsShare;
  private final long listenUntilMillis;
  private final long waitForShareUntilMillis;
  private Revision highestAnnouncedRevision = Revision.NONE;
  private boolean ready;

  private ReadinessGate(
      FleetSnapshotProvider fleet,
      FailureDomainId domain,
      BooleanSupplier ownsShare,
      LongSupplier nowMillis,
      long listenMillis,
      long shareWaitMillis) {
    this.fleet = fleet;
    this.domain = domain;
    this.ownsShare = ownsShare;
    this.nowMillis = nowMillis;
    this.listenUntilMillis = nowMillis.getAsLong() + listenMillis;
    this.waitForShareUntilMillis = nowMillis.getAsLong() + shareWaitMillis;
  }

  /**
   * Returns a readiness that begins now.
   *
   * @param fleet shows the document in force
   * @param domain the instance's failure domain, without which no document serves it
   * @param ownsShare tells whether the instance owns its share of the client accounts
   * @param nowMillis the monotonic clock
   * @param listenMillis how long to listen to other instances first
   * @param shareWaitMillis how long to wait for the share at most
   */
  static ReadinessGate of(
      FleetSnapshotProvider fleet,
      FailureDomainId domain,
      BooleanSupplier ownsShare,
      LongSupplier nowMillis,
      long listenMillis,
      long shareWaitMillis) {
    return new ReadinessGate(fleet, domain, ownsShare, nowMillis, listenMillis, shareWaitMillis);
  }

  /** Takes note of what another instance has in force. */
  void onRevisionAnnounced(Revision revision) {
    if (revision.isAfter(highestAnnouncedRevision)) {
      highestAnnouncedRevision = revision;
    }
  }

  /** Tells whether the instance may serve; once true it stays true. */
  boolean isReady() {
    ready = ready || hasListened() && hasHighestRevision() && hasShare();
    return ready;
  }

  @Override
  public Optional<FleetSnapshot> current() {
    return isReady() ? snapshotWithOwnDomain() : Optional.empty();
  }

  @Override
  public long unconfirmedMillis() {
    return fleet.unconfirmedMillis();
  }

  private Optional<FleetSnapshot> snapshotWithOwnDomain() {
    return fleet.current().filter(known -> known.document().domains().containsKey(domain));
  }

  private boolean hasListened() {
    return nowMillis.getAsLong() >= listenUntilMillis;
  }

  private boolean hasShare() {
    return ownsShare.getAsBoolean() || nowMillis.getAsLong() >= waitForShareUntilMillis;
  }

  private boolean hasHighestRevision() {
    return snapshotWithOwnDomain()
        .filter(snapshot -> !highestAnnouncedRevision.isAfter(snapshot.revision()))
        .isPresent();
  }
}
