package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a region.
 *
 * @param id the region id
 * @param team the team that owns the section
 */
public record RegionSpec(RegionId id, TeamId team) {}
