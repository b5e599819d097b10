package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a service.
 *
 * @param id the service id
 * @param pool the pool whose endpoints handle its requests
 * @param firstTokenTargetMillis the latency target for the first token, or for the complete answer
 *     of a plain service
 * @param tokenGapTargetMillis the latency target between tokens
 * @param deadlineMillis how long a request may wait for its first token before it is abandoned
 * @param queueLimit the maximum number of queued requests in each failure domain
 * @param priority the priority passed to endpoints, from 0 (lowest) to 9
 * @param unconfirmedKeyMillis how long API keys stay valid while the platform cannot confirm them
 * @param team the team that owns the section
 */
public record ServiceSpec(
    ServiceId id,
    PoolId pool,
    int firstTokenTargetMillis,
    int tokenGapTargetMillis,
    int deadlineMillis,
    int queueLimit,
    int priority,
    int unconfirmedKeyMillis,
    TeamId team) {}
