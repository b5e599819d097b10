package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.TeamId;

/**
 * The link between two regions as declared; it has the same rate each way.
 *
 * @param from one region
 * @param to the other region
 * @param rateKilobitsPerSecond the rate each way
 * @param delayMillis the one-way delay
 * @param team the team that owns the section
 */
public record LinkSpec(
    RegionId from, RegionId to, int rateKilobitsPerSecond, int delayMillis, TeamId team) {

  /**
   * Tells whether the link joins two regions, in either order.
   *
   * @param one a region
   * @param other another region
   * @return true if it joins them
   */
  public boolean joins(RegionId one, RegionId other) {
    return from.equals(one) && to.equals(other) || from.equals(other) && to.equals(one);
  }
}
