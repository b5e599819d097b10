package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.EndpointId;

/**
 * Identifies one start of an endpoint, since it may restart under the same id.
 *
 * @param id the endpoint's id
 * @param startedAtMillis its start time in Unix milliseconds
 */
public record EndpointIncarnation(EndpointId id, long startedAtMillis) {

  /**
   * Returns the incarnation that an entry describes.
   *
   * @param endpoint the published entry
   * @return its incarnation
   */
  public static EndpointIncarnation of(EndpointEntry endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.startedAtMillis());
  }
}
