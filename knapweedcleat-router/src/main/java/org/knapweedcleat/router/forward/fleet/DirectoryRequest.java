package org.knapweedcleat.router.forward.fleet;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks another instance for what is published and newer than what the asker has.
 *
 * @param configVersion the version that the asker applies, -1 for none
 * @param endpointsRevision how far the asker's list of endpoints is, -1 if it has none
 */
public record DirectoryRequest(long configVersion, long endpointsRevision)
    implements PeerMessage {}
