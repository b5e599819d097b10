package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a pool of endpoints.
 *
 * @param id the pool id
 * @param kind how its endpoints share the work of a call
 * @param model the model that its engines serve, or empty for plain services
 * @param kvBytesPerToken the size of the KV cache of one prompt token, 0 for plain services
 * @param evictionMillis how long a prefill endpoint keeps a result that nobody fetches
 * @param team the team that owns the section
 */
public record PoolSpec(
    PoolId id, PoolKind kind, String model, int kvBytesPerToken, int evictionMillis, TeamId team) {}
