package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * An instance in the platform's list, which may be out of date.
 *
 * @param id the instance
 * @param domain its failure domain
 * @param host its IP address
 * @param peerPort the TCP port for messages between instances
 * @param leaving whether the platform is shutting it down
 */
public record ListedInstance(
    InstanceId id, FailureDomainId domain, String host, int peerPort, boolean leaving) {}
