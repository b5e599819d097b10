package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A failure domain as declared.
 *
 * @param id the failure domain
 * @param region the region it lies in
 * @param team the team that owns the section
 */
public record FailureDomainSpec(FailureDomainId id, RegionId region, TeamId team) {}
