package org.knapweedcleat.core.fleet;

import org.knapweedcleat.core.id.IncarnationId;

/**
 * One run of an instance and where it listens for others.
 *
 * @param incarnation the run
 * @param host its IP number
 * @param port its TCP port for other instances
 */
public record FleetMember(IncarnationId incarnation, String host, int port) {

  /**
   * Returns the address.
   *
   * @return IP number and port
   */
  public String address() {
    return host + ":" + port;
  }
}
