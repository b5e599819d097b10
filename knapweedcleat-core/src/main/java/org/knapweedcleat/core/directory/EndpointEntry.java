package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * What one endpoint says of itself.
 *
 * @param id the endpoint; a restart mostly brings a new id
 * @param startedAtMillis when it started, in Unix milliseconds; tells restarts under one id apart
 * @param service the service it belongs to
 * @param host its IP number
 * @param port its TCP port
 * @param domain the failure domain it stands in
 * @param stage the part of the work it does
 * @param slots how many requests it runs at once
 * @param draining whether it is about to leave
 */
public record EndpointEntry(
    EndpointId id,
    long startedAtMillis,
    ServiceId service,
    String host,
    int port,
    FailureDomainId domain,
    EndpointStage stage,
    int slots,
    boolean draining) {

  /**
   * Returns the address.
   *
   * @return IP number and port
   */
  public String address() {
    return host + ":" + port;
  }
}
