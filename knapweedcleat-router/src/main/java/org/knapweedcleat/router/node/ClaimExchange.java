package org.knapweedcleat.router.node;

import java.util.Set;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.router.placement.LocalSchedulers;
import org.knapweedcleat.router.placement.PlacementCoordinator;

/** Sends schedulers the requests this instance still serves, and passes on claims of others. */
final class ClaimExchange {

  private final IncarnationId self;
  private final DomainAssignments assignments;
  private final PlacementCoordinator placements;
  private final LocalSchedulers schedulers;
  private final InstanceMessenger messenger;

  private ClaimExchange(
      IncarnationId self,
      DomainAssignments assignments,
      PlacementCoordinator placements,
      LocalSchedulers schedulers,
      InstanceMessenger messenger) {
    this.self = self;
    this.assignments = assignments;
    this.placements = placements;
    this.schedulers = schedulers;
    this.messenger = messenger;
  }

  static ClaimExchange of(
      IncarnationId self,
      DomainAssignments assignments,
      PlacementCoordinator placements,
      LocalSchedulers schedulers,
      InstanceMessenger messenger) {
    return new ClaimExchange(self, assignments, placements, schedulers, messenger);
  }

  /** Sends each pool's running requests to its scheduler and to all others that placed some. */
  void sendClaims() {
    assignments.pools().forEach(this::sendClaimsForPool);
  }

  /** Applies claims; those from another failure domain also go to the scheduler of this one. */
  void onClaims(IncarnationId from, RunningClaims claims) {
    schedulers.updateClaims(claims);
    if (!assignments.isInDomain(from)) {
      assignments.schedulerOf(claims.pool()).ifPresent(scheduler -> deliver(scheduler, claims));
    }
  }

  private void sendClaimsForPool(PoolId pool) {
    RunningClaims claims = RunningClaims.of(self, pool, placements.placedRequests(pool));
    Set<IncarnationId> receivers = placements.placingSchedulers(pool);
    assignments.schedulerOf(pool).ifPresent(receivers::add);
    receivers.forEach(receiver -> deliver(receiver, claims));
  }

  private void deliver(IncarnationId receiver, RunningClaims claims) {
    if (receiver.equals(self)) {
      schedulers.updateClaims(claims);
      return;
    }
    messenger.send(receiver, claims);
  }
}
