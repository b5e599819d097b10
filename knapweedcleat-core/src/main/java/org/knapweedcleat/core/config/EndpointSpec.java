package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of an endpoint.
 *
 * @param id the endpoint id
 * @param pool the pool it belongs to
 * @param role the work it does in the pool
 * @param domain the failure domain in which it runs
 * @param host its IP address
 * @param port its TCP port
 * @param memoryPieces the engine memory in pieces of 1000 tokens, 0 for plain services
 * @param checksFencing whether it rejects orders with an outdated fencing number
 * @param state whether it accepts new work
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
