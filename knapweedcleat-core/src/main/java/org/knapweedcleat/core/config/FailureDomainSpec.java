package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a failure domain.
 *
 * @param id the failure domain id
 * @param region the region it belongs to
 * @param team the team that owns the section
 */
public record FailureDomainSpec(FailureDomainId id, RegionId region, TeamId team) {}
