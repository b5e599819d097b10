package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A region as declared.
 *
 * @param id the region
 * @param team the team that owns the section
 */
public record RegionSpec(RegionId id, TeamId team) {}
