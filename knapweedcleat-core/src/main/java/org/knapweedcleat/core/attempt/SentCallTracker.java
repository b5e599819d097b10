package org.knapweedcleat.core.attempt;

import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.id.EndpointId;

/**
 * Remembers for which calls of a request bytes were handed to a socket.
 *
 * <p>It is kept where bytes are sent, apart from the decisions, so that what a caller is told can
 * be checked against it.
 */
public final class SentCallTracker {

  private final Map<EndpointId, Integer> openCalls = new HashMap<>();
  private long sentCalls;

  private SentCallTracker() {}

  /**
   * Returns a record of a request that nothing was sent for.
   *
   * @return the record
   */
  public static SentCallTracker create() {
    return new SentCallTracker();
  }

  /**
   * Notes that bytes of a call are about to be handed to a socket.
   *
   * @param endpoint where they go
   */
  public void recordSent(EndpointId endpoint) {
    sentCalls++;
    openCalls.merge(endpoint, 1, Integer::sum);
  }

  /**
   * Notes that the endpoint said it did nothing for a call.
   *
   * @param endpoint the endpoint
   */
  public void recordNotRun(EndpointId endpoint) {
    openCalls.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Notes that the endpoint confirmed a cancel and holds nothing any more.
   *
   * @param endpoint the endpoint
   */
  public void recordReleased(EndpointId endpoint) {
    openCalls.remove(endpoint);
  }

  /**
   * Tells whether "not run" is true.
   *
   * @return true if no call is open that may have had effects
   */
  public boolean hasNoOpenCalls() {
    return openCalls.isEmpty();
  }

  /**
   * Counts the calls that bytes were sent for.
   *
   * @return the count, refused ones included
   */
  public long sentCalls() {
    return sentCalls;
  }
}
