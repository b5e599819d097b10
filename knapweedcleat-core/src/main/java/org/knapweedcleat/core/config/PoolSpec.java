package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A pool of endpoints as declared.
 *
 * @param id the pool
 * @param kind how its endpoints work
 * @param model the model that its engines serve, empty for plain services
 * @param kvBytesPerToken the size of the KV cache of one prompt token, 0 for plain services
 * @param evictionMillis how long a prefill endpoint keeps an unclaimed result
 * @param team the team that owns the section
 */
public record PoolSpec(
    PoolId id, PoolKind kind, String model, int kvBytesPerToken, int evictionMillis, TeamId team) {}
