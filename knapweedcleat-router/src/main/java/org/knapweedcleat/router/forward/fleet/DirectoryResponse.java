package org.knapweedcleat.router.forward.fleet;

import java.util.List;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * The routing configuration and endpoints that are newer than those of the requesting instance.
 *
 * @param config the newer configuration; empty or a single element
 * @param endpoints the endpoints changed after the requested position
 * @param endpointIds the ids of all endpoints known to the responder
 * @param endpointsPosition the position up to which {@code endpointIds} is complete, as a number
 *     ({@link org.knapweedcleat.core.id.StorePosition#toLong}); -1 if absent
 */
public record DirectoryResponse(
    List<RoutingContent> config,
    List<VersionedEntry> endpoints,
    List<String> endpointIds,
    long endpointsPosition)
    implements PeerMessage {

  /**
   * An endpoint entry and its position.
   *
   * @param entry the entry as the endpoint published it
   * @param position the position of its last change, as a number
   */
  public record VersionedEntry(EndpointEntry entry, long position) {}
}
