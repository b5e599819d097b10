package org.knapweedcleat.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Tracks the workload of each endpoint: exactly for calls of this instance, as last reported for
 * calls of other instances.
 *
 * <p>An instance that places calls for others also reserves their workload here. The other
 * instances report the same work later, so the maximum of the reserved and the reported workload
 * counts.
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
   * Returns an empty tracker.
   *
   * @param maxAgeMillis the age at which a report of another instance expires
   * @return the tracker
   */
  public static WorkloadTracker of(long maxAgeMillis) {
    return new WorkloadTracker(maxAgeMillis);
  }

  /**
   * Adds work that this instance sends to an endpoint.
   *
   * @param endpoint the endpoint
   * @param work the work
   */
  public void addLocal(EndpointId endpoint, EndpointWorkload work) {
    local.merge(endpoint, work, EndpointWorkload::plus);
  }

  /**
   * Removes work of this instance that has ended.
   *
   * @param endpoint the endpoint
   * @param work the work as it was added
   */
  public void removeLocal(EndpointId endpoint, EndpointWorkload work) {
    subtract(local, endpoint, work);
  }

  /**
   * Adds work that other instances were directed to send to an endpoint.
   *
   * @param endpoint the endpoint
   * @param work the work
   */
  public void reserve(EndpointId endpoint, EndpointWorkload work) {
    reserved.merge(endpoint, work, EndpointWorkload::plus);
  }

  /**
   * Removes reserved work that has ended.
   *
   * @param endpoint the endpoint
   * @param work the work as it was reserved
   */
  public void release(EndpointId endpoint, EndpointWorkload work) {
    subtract(reserved, endpoint, work);
  }

  /**
   * Replaces the report of another instance.
   *
   * @param instance the name of the instance
   * @param reportedAtMillis the time of the report
   * @param work its workload by endpoint
   */
  public void update(
      String instance, long reportedAtMillis, Map<EndpointId, EndpointWorkload> work) {
    forget(instance);
    reports.put(instance, new Report(reportedAtMillis, Map.copyOf(work)));
    work.forEach((endpoint, added) -> remote.merge(endpoint, added, EndpointWorkload::plus));
    oldestReportMillis = Math.min(oldestReportMillis, reportedAtMillis);
  }

  /**
   * Removes the report of another instance.
   *
   * @param instance the name of the instance
   */
  public void forget(String instance) {
    Report report = reports.remove(instance);
    if (report != null) {
      report.workload().forEach((endpoint, removed) -> subtract(remote, endpoint, removed));
    }
  }

  /**
   * Returns the workload of this instance's calls.
   *
   * @return the workload by endpoint
   */
  public Map<EndpointId, EndpointWorkload> local() {
    return Map.copyOf(local);
  }

  /**
   * Returns the total known workload of an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMillis the current time
   * @return the workload of this and all other instances
   */
  public EndpointWorkload total(EndpointId endpoint, long nowMillis) {
    expireReports(nowMillis);
    EndpointWorkload localWork = local.getOrDefault(endpoint, EndpointWorkload.NONE);
    EndpointWorkload remoteWork = remote.getOrDefault(endpoint, EndpointWorkload.NONE);
    return localWork.plus(remoteWork.max(reserved.getOrDefault(endpoint, EndpointWorkload.NONE)));
  }

  private void expireReports(long nowMillis) {
    if (nowMillis - oldestReportMillis <= maxAgeMillis) {
      return;
    }
    reports.entrySet().stream()
        .filter(entry -> nowMillis - entry.getValue().reportedAtMillis() > maxAgeMillis)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::forget);
    oldestReportMillis =
        reports.values().stream().mapToLong(Report::reportedAtMillis).min().orElse(Long.MAX_VALUE);
  }

  private static void subtract(
      Map<EndpointId, EndpointWorkload> totals, EndpointId endpoint, EndpointWorkload work) {
    totals.computeIfPresent(
        endpoint,
        (id, current) -> {
          EndpointWorkload remaining = current.minus(work);
          return remaining.equals(EndpointWorkload.NONE) ? null : remaining;
        });
  }
}
