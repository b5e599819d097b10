package org.knapweedcleat.core.directory;

import java.util.List;
import java.util.OptionalLong;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Where the calls of a host and path prefix go.
 *
 * @param name the route's name
 * @param host the host it belongs to
 * @param pathPrefix the beginning of its paths, with a slash at both ends
 * @param kind what may be done again with its calls
 * @param resumable whether a stream may go on at another endpoint
 * @param open whether calls need no key
 * @param timeoutMillis the longest time until the final answer
 * @param targetMillis the time within which an answer, or a stream's first event, has its full
 *     value
 * @param maxGapMillis the longest pause between events that is on time; 0 if not given
 * @param maxRuns how many endpoints may run one call, at least 1
 * @param priority its urgency; 0 is the most urgent
 * @param shares the services, at least one
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
    List<ServiceShare> shares) {

  /** Copies the list. */
  public ForwardRoute {
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    shares = List.copyOf(shares);
  }

  /**
   * Tells whether a call may run more than once.
   *
   * @return true if a second run does no harm
   */
  public boolean isRepeatable() {
    return kind.isRepeatable(resumable);
  }

  /**
   * Returns the longest time until the final answer to a call.
   *
   * @param callerMillis how long its caller waits, if it says so
   * @return milliseconds
   */
  public long effectiveTimeoutMillis(OptionalLong callerMillis) {
    return Math.min(timeoutMillis, callerMillis.orElse(timeoutMillis));
  }

  /**
   * Chooses a service by weight.
   *
   * @param random a number from 0 up to but not including 1
   * @return the service
   */
  public ServiceId selectService(double random) {
    long total = shares.stream().mapToLong(ServiceShare::weight).sum();
    double left = random * total;
    for (ServiceShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return shares.get(0).service();
  }
}
