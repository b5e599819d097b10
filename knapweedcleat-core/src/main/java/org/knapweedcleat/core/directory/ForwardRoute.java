package org.knapweedcleat.core.directory;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * A route that forwards the calls of a host and path prefix to services.
 *
 * @param name its name
 * @param host the host name of its calls
 * @param pathPrefix the path prefix of its calls, starting and ending with a slash
 * @param kind how its calls may be repeated
 * @param resumable whether a stream may be resumed on another endpoint
 * @param open whether calls need no key
 * @param timeoutMillis the maximum time until the complete response
 * @param targetMillis the time within which a response, or a stream's first event, is on time
 * @param maxGapMillis the longest gap between events of a stream that is on time; 0 if not
 *     specified
 * @param maxRuns the number of endpoints that may run one call, at least 1
 * @param priority the priority of its calls; 0 is the most urgent
 * @param shares the services with their weights, at least one
 * @param allowedRegions the regions in which its calls may be served; empty for any
 */
public record ForwardRoute(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    boolean resumable,
    boolean open,
    long timeoutMillis,
    long targetMillis,
    long maxGapMillis,
    int maxRuns,
    int priority,
    List<ServiceShare> shares,
    Set<RegionId> allowedRegions) {

  /** Copies the collections. */
  public ForwardRoute {
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    shares = List.copyOf(shares);
    allowedRegions = Set.copyOf(allowedRegions);
  }

  /**
   * Returns whether a call may run more than once.
   *
   * @return true if a second run does no harm
   */
  public boolean isRepeatable() {
    return kind.isRepeatable(resumable);
  }

  /**
   * Returns the maximum time until the complete response to a call.
   *
   * @param callerTimeoutMillis the time that its caller waits, if it states one
   * @return milliseconds
   */
  public long effectiveTimeoutMillis(OptionalLong callerTimeoutMillis) {
    return Math.min(timeoutMillis, callerTimeoutMillis.orElse(timeoutMillis));
  }

  /**
   * Selects a service by weight.
   *
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   * @return the service
   */
  public ServiceId selectService(double random) {
    long totalWeight = shares.stream().mapToLong(ServiceShare::weight).sum();
    double remaining = random * totalWeight;
    for (ServiceShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return shares.get(0).service();
  }
}
