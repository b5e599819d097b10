package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Address at which an instance accepts connections from other instances.
 *
 * @param instance the instance
 * @param host the IP address
 * @param port the TCP port
 */
public record PeerAddress(InstanceId instance, String host, int port) {

  /**
   * Returns the address of a forwarding instance.
   *
   * @param member the fleet member
   * @return its address
   */
  public static PeerAddress of(FleetMember member) {
    return new PeerAddress(member.incarnation().instance(), member.host(), member.port());
  }
}
