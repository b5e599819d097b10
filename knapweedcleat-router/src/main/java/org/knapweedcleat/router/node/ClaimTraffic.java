package org.knapweedcleat.router.node;

import java.util.Set;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.router.placement.LocalSchedulers;
import org.knapweedcleat.router.placement.PlacementDesk;

/** Tells schedulers what this instance still serves, and brings them what others tell. */
final class ClaimTraffic {

  private final IncarnationId self;
  private final Duties duties;
  private final PlacementDesk placements;
  private final LocalSchedulers schedulers;
  private final AddressBook addresses;

  private ClaimTraffic(
      IncarnationId self,
      Duties duties,
      PlacementDesk placements,
      LocalSchedulers schedulers,
      AddressBook addresses) {
    this.self = self;
    this.duties = duties;
    this.placements = placements;
    this.schedulers = schedulers;
    this.addresses = addresses;
  }

  static ClaimTraffic of(
      IncarnationId self,
      Duties duties,
      PlacementDesk placements,
      LocalSchedulers schedulers,
      AddressBook addresses) {
    return new ClaimTraffic(self, duties, placements, schedulers, addresses);
  }

  /** Tells the scheduler of each pool, and whoever else placed something, what still runs. */
  void send() {
    duties.pools().forEach(this::sendFor);
  }

  /** Takes claims, and brings those of another failure domain to the scheduler of this one. */
  void receive(IncarnationId from, RunningClaims claims) {
    schedulers.claims(claims);
    if (!duties.isInDomain(from)) {
      duties.schedulerOf(claims.pool()).ifPresent(scheduler -> pass(scheduler, claims));
    }
  }

  private void sendFor(PoolId pool) {
    RunningClaims claims = RunningClaims.of(self, pool, placements.placed(pool));
    Set<IncarnationId> receivers = placements.placers(pool);
    duties.schedulerOf(pool).ifPresent(receivers::add);
    receivers.forEach(receiver -> pass(receiver, claims));
  }

  private void pass(IncarnationId receiver, RunningClaims claims) {
    if (receiver.equals(self)) {
      schedulers.claims(claims);
      return;
    }
    addresses.tell(receiver, claims);
  }
}
