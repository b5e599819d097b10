package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * An instance as known to the other instances.
 *
 * @param incarnation its current run
 * @param domain its failure domain
 * @param host its IP address
 * @param peerPort the TCP port for messages between instances
 * @param leaving whether it is shutting down
 */
public record Member(
    IncarnationId incarnation, FailureDomainId domain, String host, int peerPort, boolean leaving) {

  /**
   * Returns the instance's id.
   *
   * @return the id
   */
  public InstanceId id() {
    return incarnation.instance();
  }
}
