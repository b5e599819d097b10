package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * An instance as the platform's list shows it; the list lags.
 *
 * @param id the instance
 * @param domain its failure domain
 * @param host its IP number
 * @param peerPort the TCP port for messages between instances
 * @param leaving whether the platform is stopping it
 */
public record ListedInstance(
    InstanceId id, FailureDomainId domain, String host, int peerPort, boolean leaving) {}
