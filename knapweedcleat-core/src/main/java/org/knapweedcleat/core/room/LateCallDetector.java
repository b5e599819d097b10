package org.knapweedcleat.core.room;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.knapweedcleat.core.directory.ForwardRoute;

/**
 * Tells calls that can still be on time from those that come back after a refusal: their callers
 * have less time left than callers of the same route have at first.
 */
public final class LateCallDetector {

  private final Map<String, Long> longestDeadlineMillis = new HashMap<>();

  private LateCallDetector() {}

  /**
   * Returns a judge that has seen no call.
   *
   * @return the judge
   */
  public static LateCallDetector create() {
    return new LateCallDetector();
  }

  /**
   * Judges a call by the time that its caller has left.
   *
   * @param route the call's route
   * @param deadlineMillis how long the caller waits, if it says so
   * @return true if the caller has already waited longer than the route's target
   */
  public boolean isLate(ForwardRoute route, OptionalLong deadlineMillis) {
    if (deadlineMillis.isEmpty()) {
      return false;
    }
    long left = deadlineMillis.getAsLong();
    long usual = longestDeadlineMillis.merge(route.name(), left, Math::max);
    return usual - left > route.targetMillis();
  }
}
