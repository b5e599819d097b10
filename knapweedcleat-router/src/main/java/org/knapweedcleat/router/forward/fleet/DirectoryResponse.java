package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * What is published, as far as the answering instance knows more than the asker.
 *
 * @param config the configuration, at most one
 * @param endpoints the endpoints that have changed since the revision that was asked for
 * @param endpointIds the ids of all endpoints that are known
 * @param endpointsRevision the revision up to which the list is whole, -1 if there is none
 */
public record DirectoryResponse(
    List<RoutingContent> config, List<VersionedEntry> endpoints, List<String> endpointIds, long endpointsRevision)
    implements PeerMessage {

  /**
   * An endpoint.
   *
   * @param entry what it says of itself
   * @param revision the revision of its last change
   */
  public record VersionedEntry(EndpointEntry entry, long revision) {}
}
