package org.knapweedcleat.router.forward.node;

import java.util.function.LongSupplier;
import org.knapweedcleat.core.balance.ConnectionShare;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.router.forward.http.ConnectionLimits;
import org.knapweedcleat.router.forward.store.DirectoryCache;

/** Looks up the share of an endpoint's connections that this instance may use. */
final class ConnectionShares implements ConnectionLimits {

  private final DirectoryCache directory;
  private final FleetMembership members;
  private final LongSupplier clock;

  private ConnectionShares(DirectoryCache directory, FleetMembership members, LongSupplier clock) {
    this.directory = directory;
    this.members = members;
    this.clock = clock;
  }

  static ConnectionShares of(
      DirectoryCache directory, FleetMembership members, LongSupplier clock) {
    return new ConnectionShares(directory, members, clock);
  }

  @Override
  public int maxConnections(String address) {
    return directory
        .endpoints()
        .findByAddress(address)
        .map(EndpointEntry::service)
        .flatMap(service -> directory.config().flatMap(config -> config.findService(service)))
        .map(ServiceProfile::maxConnections)
        .map(accepted -> ConnectionShare.of(accepted, liveInstances()))
        .orElse(Integer.MAX_VALUE);
  }

  private int liveInstances() {
    return members.liveMembers(clock.getAsLong()).size() + 1;
  }
}
