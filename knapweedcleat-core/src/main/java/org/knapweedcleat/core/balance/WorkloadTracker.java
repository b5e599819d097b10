package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;

/**
 * The work at each endpoint: the own work exactly, that of other instances as last told.
 *
 * <p>An instance that places calls for others also reserves their work here. Since they tell of the
 * same work later, the larger of both counts.
 */
public final class WorkloadTracker {

  private final long maxAgeMillis;
  private final Map<EndpointId, EndpointWorkload> local = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();
  private final Map<EndpointId, EndpointWorkload> remote = new HashMap<>();
  private final Map<EndpointId, EndpointWorkload> reserved = new HashMap<>();
  private long oldestReportMillis = Long.MAX_VALUE;

  private record Report(long reportedAtMillis, Map<EndpointId, EndpointWorkload> workload) {}

  private WorkloadTracker(long maxAgeMillis) {
    this.maxAgeMillis = maxAgeMillis;
  }

  /**
   * Returns an empty book.
   *
   * @param maxAgeMillis how long counts what another instance told
   * @return the book
   */
  public static WorkloadTracker of(long maxAgeMillis) {
    return new WorkloadTracker(maxAgeMillis);
  }

  /**
   * Notes work that the own instance gives to an endpoint.
   *
   * @param endpoint the endpoint
   * @param work the work
   */
  public void addLocal(EndpointId endpoint, EndpointWorkload work) {
    local.merge(endpoint, work, EndpointWorkload::plus);
  }

  /**
   * Notes that own work has ended.
   *
   * @param endpoint the endpoint
   * @param work the work, as it was begun
   */
  public void removeLocal(EndpointId endpoint, EndpointWorkload work) {
    subtract(local, endpoint, work);
  }

  /**
   * Notes work that other instances were told to give to an endpoint.
   *
   * @param endpoint the endpoint
   * @param work the work
   */
  public void reserve(EndpointId endpoint, EndpointWorkload work) {
    reserved.merge(endpoint, work, EndpointWorkload::plus);
  }

  /**
   * Notes that reserved work has ended.
   *
   * @param endpoint the endpoint
   * @param work the work, as it was reserved
   */
  public void release(EndpointId endpoint, EndpointWorkload work) {
    subtract(reserved, endpoint, work);
  }

  /**
   * Takes what another instance tells of its work; it replaces what that instance told before.
   *
   * @param instance names the instance
   * @param nowMillis the time
   * @param work its work by endpoint
   */
  public void update(String instance, long nowMillis, Map<EndpointId, EndpointWorkload> work) {
    forget(instance);
    reports.put(instance, new Report(nowMillis, Map.copyOf(work)));
    work.forEach((endpoint, one) -> remote.merge(endpoint, one, EndpointWorkload::plus));
    oldestReportMillis = Math.min(oldestReportMillis, nowMillis);
  }

  /**
   * Forgets an instance.
   *
   * @param instance names the instance
   */
  public void forget(String instance) {
    Report before = reports.remove(instance);
    if (before != null) {
      before.workload().forEach((endpoint, one) -> subtract(remote, endpoint, one));
    }
  }

  /**
   * Returns the own work.
   *
   * @return the work by endpoint
   */
  public Map<EndpointId, EndpointWorkload> local() {
    return Map.copyOf(local);
  }

  /**
   * Returns all work at an endpoint that is known.
   *
   * @param endpoint the endpoint
   * @param nowMillis the time
   * @return the own work and that of the other instances
   */
  public EndpointWorkload total(EndpointId endpoint, long nowMillis) {
    expireReports(nowMillis);
    EndpointWorkload mine = local.getOrDefault(endpoint, EndpointWorkload.NONE);
    EndpointWorkload theirs = remote.getOrDefault(endpoint, EndpointWorkload.NONE);
    return mine.plus(theirs.max(reserved.getOrDefault(endpoint, EndpointWorkload.NONE)));
  }

  private void expireReports(long nowMillis) {
    if (nowMillis - oldestReportMillis <= maxAgeMillis) {
      return;
    }
    reports.entrySet().stream()
        .filter(one -> nowMillis - one.getValue().reportedAtMillis() > maxAgeMillis)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::forget);
    oldestReportMillis = reports.values().stream().mapToLong(Report::reportedAtMillis).min().orElse(Long.MAX_VALUE);
  }

  private static void subtract(
      Map<EndpointId, EndpointWorkload> from, EndpointId endpoint, EndpointWorkload work) {
    from.computeIfPresent(
        endpoint,
        (id, before) -> {
          EndpointWorkload left = before.minus(work);
          return left.equals(EndpointWorkload.NONE) ? null : left;
        });
  }
}
