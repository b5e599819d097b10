package org.knapweedcleat.core.schedule;

import java.util.Comparator;
import org.knapweedcleat.core.config.ServiceSpec;

/**
 * A priority class of queued requests; the lowest in natural order is served first.
 *
 * @param withinRate whether the requests are within their account's rate
 * @param priority the priority of their service; a greater number is served first
 */
record QueueLane(boolean withinRate, int priority) implements Comparable<QueueLane> {

  private static final Comparator<QueueLane> ORDER =
      Comparator.comparing(QueueLane::withinRate).thenComparingInt(QueueLane::priority).reversed();

  static QueueLane of(PlacementRequest request, ServiceSpec service) {
    return new QueueLane(request.withinRate(), service.priority());
  }

  @Override
  public int compareTo(QueueLane other) {
    return ORDER.compare(this, other);
  }
}
