package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * The routing configuration and endpoints that are newer than those of the requesting instance.
 *
 * @param config the newer configuration; empty or a single element
 * @param endpoints the endpoints changed after the requested revision
 * @param endpointIds the ids of all endpoints known to the responder
 * @param endpointsRevision the revision up to which {@code endpointIds} is complete, -1 if absent
 */
public record DirectoryResponse(
    List<RoutingContent> config,
    List<VersionedEntry> endpoints,
    List<String> endpointIds,
    long endpointsRevision)
    implements PeerMessage {

  /**
   * An endpoint entry and its revision.
   *
   * @param entry the entry as the endpoint published it
   * @param revision the revision of its last change
   */
  public record VersionedEntry(EndpointEntry entry, long revision) {}
}
