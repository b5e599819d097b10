package org.knapweedcleat.core.room;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.knapweedcleat.core.directory.ForwardRoute;

/**
 * Distinguishes calls that can still be on time from retries of refused calls, by deadline: a
 * returning caller has less time left than the callers of a route usually have.
 */
public final class LateCallDetector {

  private final Map<String, Long> longestDeadlineMillis = new HashMap<>();

  private LateCallDetector() {}

  /**
   * Returns a detector that has seen no calls.
   *
   * @return the detector
   */
  public static LateCallDetector create() {
    return new LateCallDetector();
  }

  /**
   * Returns whether a call is late, compared with the longest deadline seen on its route.
   *
   * @param route the route of the call
   * @param deadlineMillis the time that the caller has left, if it states one
   * @return true if the caller has already waited longer than the route's target time
   */
  public boolean isLate(ForwardRoute route, OptionalLong deadlineMillis) {
    if (deadlineMillis.isEmpty()) {
      return false;
    }
    long remainingMillis = deadlineMillis.getAsLong();
    long longestMillis = longestDeadlineMillis.merge(route.name(), remainingMillis, Math::max);
    return longestMillis - remainingMillis > route.targetMillis();
  }
}
