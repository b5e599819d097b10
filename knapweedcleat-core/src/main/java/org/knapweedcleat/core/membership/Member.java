package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * An instance as others see it.
 *
 * @param incarnation its current run
 * @param domain its failure domain
 * @param host its IP number
 * @param peerPort the TCP port for messages between instances
 * @param leaving whether it is stopping
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
