package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * The published description of an endpoint.
 *
 * @param id its id; usually changes on a restart
 * @param startedAtMillis its start time in Unix milliseconds; distinguishes restarts under the same
 *     id
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param stage the stage that it serves
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it is about to leave and accepts no new work
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
   * @return the address as {@code host:port}
   */
  public String address() {
    return host + ":" + port;
  }

  /**
   * Returns this entry as that of an endpoint that is about to leave.
   *
   * @return the same entry, draining
   */
  public EndpointEntry asDraining() {
    return new EndpointEntry(id, startedAtMillis, service, host, port, domain, stage, slots, true);
  }
}
