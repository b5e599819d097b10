package org.knapweedcleat.router.node;

import java.util.Set;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.router.placement.LocalSchedulers;
import org.knapweedcleat.router.placement.PlacementCoordinator;

/** Tells schedulers what this instance still serves, and brings them what others tell. */
final class ClaimExchange {

  private final IncarnationId self;
  private final DomainAssignments duties;
  private final PlacementCoordinator placements;
  private final LocalSchedulers schedulers;
  private final InstanceMessenger addresses;

  private ClaimExchange(
      IncarnationId self,
      DomainAssignments duties,
      PlacementCoordinator placements,
      LocalSchedulers schedulers,
      InstanceMessenger addresses) {
    this.self = self;
    this.duties = duties;
    this.placements = placements;
    this.schedulers = schedulers;
    this.addresses = addresses;
  }

  static ClaimExchange of(
      IncarnationId self,
      DomainAssignments duties,
      PlacementCoordinator placements,
      LocalSchedulers schedulers,
      InstanceMessenger addresses) {
    return new ClaimExchange(self, duties, placements, schedulers, addresses);
  }

  /** Tells the scheduler of each pool, and whoever else placed something, what still runs. */
  void sendClaims() {
    duties.pools().forEach(this::sendClaimsForPool);
  }

  /** Takes claims, and brings those of another failure domain to the scheduler of this one. */
  void onClaims(IncarnationId from, RunningClaims claims) {
    schedulers.updateClaims(claims);
    if (!duties.isInDomain(from)) {
      duties.schedulerOf(claims.pool()).ifPresent(scheduler -> deliver(scheduler, claims));
    }
  }

  private void sendClaimsForPool(PoolId pool) {
    RunningClaims claims = RunningClaims.of(self, pool, placements.placedRequests(pool));
    Set<IncarnationId> receivers = placements.placingSchedulers(pool);
    duties.schedulerOf(pool).ifPresent(receivers::add);
    receivers.forEach(receiver -> deliver(receiver, claims));
  }

  private void deliver(IncarnationId receiver, RunningClaims claims) {
    if (receiver.equals(self)) {
      schedulers.updateClaims(claims);
      return;
    }
    addresses.send(receiver, claims);
  }
}
