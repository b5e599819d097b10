package org.knapweedcleat.router.node;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;

/**
 * Hides the document in force until the instance may serve requests.
 *
 * <p>No reachable live instance may have a higher revision, so that an instance that reads a stale
 * platform at start does not serve requests with an old document. The instance also waits for its
 * share of the client accounts' tokens, because without it callers within their rate would be
 * refused. This wait is bounded, because an instance gets no share without the platform's instance
 * list, but can still draw tokens from others.
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
   * Returns a gate whose waiting periods start now.
   *
   * @param fleet provides the document in force
   * @param domain the instance's failure domain; documents that do not declare it are hidden
   * @param ownsShare tells whether the instance owns its share of the client accounts' tokens
   * @param nowMillis the monotonic clock
   * @param listenMillis how long to listen for announcements of other instances first
   * @param shareWaitMillis the maximum time to wait for the share
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

  /** Records the revision that another instance has in force. */
  void onRevisionAnnounced(Revision revision) {
    if (revision.isAfter(highestAnnouncedRevision)) {
      highestAnnouncedRevision = revision;
    }
  }

  /** Tells whether the instance may serve requests; once true, the result stays true. */
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
    return fleet.current().filter(snapshot -> snapshot.document().domains().containsKey(domain));
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
