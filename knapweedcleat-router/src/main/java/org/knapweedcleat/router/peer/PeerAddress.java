package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Where an instance listens for other instances.
 *
 * @param instance the instance
 * @param host its IP number
 * @param port its TCP port
 */
public record PeerAddress(InstanceId instance, String host, int port) {

  /**
   * Returns the address that a forwarding instance names.
   *
   * @param member the instance's run
   * @return its address
   */
  public static PeerAddress of(FleetMember member) {
    return new PeerAddress(member.incarnation().instance(), member.host(), member.port());
  }
}
