package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.TeamId;

/**
 * An endpoint as declared.
 *
 * @param id the endpoint
 * @param pool the pool it belongs to
 * @param role what it does there
 * @param domain the failure domain it stands in
 * @param host its IP number
 * @param port its TCP port
 * @param memoryPieces the pieces of engine memory, 0 for plain services
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param state whether it takes new work
 * @param team the team that owns the section
 */
public record EndpointSpec(
    EndpointId id,
    PoolId pool,
    EndpointRole role,
    FailureDomainId domain,
    String host,
    int port,
    int memoryPieces,
    boolean checksFencing,
    EndpointState state,
    TeamId team) {}
