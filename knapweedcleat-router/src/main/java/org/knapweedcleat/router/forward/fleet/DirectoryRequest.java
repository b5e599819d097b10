package org.knapweedcleat.router.forward.fleet;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Requests configuration and endpoints newer than those of the requesting instance.
 *
 * @param configVersion the requester's configuration version, -1 for none
 * @param endpointsRevision the revision of the requester's endpoint list, -1 for none, {@code
 *     Long.MAX_VALUE} to request no endpoints
 */
public record DirectoryRequest(long configVersion, long endpointsRevision) implements PeerMessage {}
