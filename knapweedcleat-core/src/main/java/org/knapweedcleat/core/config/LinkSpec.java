package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a link between two regions, with the same rate in each direction.
 *
 * @param from one region
 * @param to the other region
 * @param rateKilobitsPerSecond the rate in each direction
 * @param delayMillis the one-way delay
 * @param team the team that owns the section
 */
public record LinkSpec(
    RegionId from, RegionId to, int rateKilobitsPerSecond, int delayMillis, TeamId team) {

  /**
   * Returns whether the link connects two regions, in either order.
   *
   * @param one a region
   * @param other another region
   * @return true if it connects them
   */
  public boolean joins(RegionId one, RegionId other) {
    return from.equals(one) && to.equals(other) || from.equals(other) && to.equals(one);
  }
}
