package org.knapweedcleat.core.fleet;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * An incarnation of an instance and its address.
 *
 * @param incarnation the incarnation
 * @param domain its failure domain
 * @param host its IP address
 * @param port its TCP port for connections from other instances
 */
public record FleetMember(
    IncarnationId incarnation, FailureDomainId domain, String host, int port) {

  /**
   * Returns the address.
   *
   * @return the address as {@code host:port}
   */
  public String address() {
    return host + ":" + port;
  }
}
