package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A service as declared.
 *
 * @param id the service
 * @param pool the pool whose endpoints do its work
 * @param firstTokenTargetMillis the target for the time to the first token or the whole plain
 *     answer
 * @param tokenGapTargetMillis the target for the time between tokens
 * @param deadlineMillis how long a request may take to its first token before it is given up
 * @param queueLimit how many requests may wait in one failure domain
 * @param priority passed on to endpoints, 0 (lowest) to 9
 * @param unconfirmedKeyMillis how long keys are accepted while the platform cannot confirm them
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
