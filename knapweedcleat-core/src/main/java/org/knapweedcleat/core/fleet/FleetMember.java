package org.knapweedcleat.core.fleet;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * One run of an instance and where it listens for others.
 *
 * @param incarnation the run
 * @param domain the failure domain it stands in
 * @param host its IP number
 * @param port its TCP port for other instances
 */
public record FleetMember(
    IncarnationId incarnation, FailureDomainId domain, String host, int port) {

  /**
   * Returns the address.
   *
   * @return IP number and port
   */
  public String address() {
    return host + ":" + port;
  }
}
