package org.knapweedcleat.core.attempt;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Tracks the calls of a request for which bytes were written to a socket.
 *
 * <p>It is updated where bytes are sent, independently of the coordinators' decisions, so that the
 * execution status reported to callers can be verified against it.
 */
public final class SentCallTracker {

  private final Map<EndpointId, Integer> openCalls = new HashMap<>();
  private long sentCalls;

  private SentCallTracker() {}

  /**
   * Returns a tracker for a request without any sent calls.
   *
   * @return the tracker
   */
  public static SentCallTracker create() {
    return new SentCallTracker();
  }

  /**
   * Records that bytes of a call are about to be written to a socket.
   *
   * @param endpoint the receiver
   */
  public void recordSent(EndpointId endpoint) {
    sentCalls++;
    openCalls.merge(endpoint, 1, Integer::sum);
  }

  /**
   * Records that an endpoint reported that it did nothing for a call.
   *
   * @param endpoint the endpoint
   */
  public void recordNotRun(EndpointId endpoint) {
    openCalls.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Records that an endpoint confirmed a cancellation and no longer holds anything for the request.
   *
   * @param endpoint the endpoint
   */
  public void recordReleased(EndpointId endpoint) {
    openCalls.remove(endpoint);
  }

  /**
   * Returns whether the request has certainly not run.
   *
   * @return true if no open call may have had effects
   */
  public boolean hasNoOpenCalls() {
    return openCalls.isEmpty();
  }

  /**
   * Returns the number of calls for which bytes were sent.
   *
   * @return the count, including refused calls
   */
  public long sentCalls() {
    return sentCalls;
  }
}
