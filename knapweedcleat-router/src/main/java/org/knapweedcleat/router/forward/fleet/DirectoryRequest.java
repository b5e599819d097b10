package org.knapweedcleat.router.forward.fleet;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Requests configuration and endpoints newer than those of the requesting instance.
 *
 * @param configVersion the requester's configuration version, -1 for none
 * @param endpointsPosition the position of the requester's endpoint list, as a number ({@link
 *     org.knapweedcleat.core.id.StorePosition#toLong}); {@code Long.MAX_VALUE} to request no
 *     endpoints
 */
public record DirectoryRequest(long configVersion, long endpointsPosition) implements PeerMessage {

  /** Returns whether the requester needs the configuration only. */
  boolean isWithoutEndpoints() {
    return endpointsPosition == Long.MAX_VALUE;
  }
}
