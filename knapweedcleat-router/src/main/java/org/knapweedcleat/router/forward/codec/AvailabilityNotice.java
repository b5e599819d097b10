package org.knapweedcleat.router.forward.codec;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What an endpoint's response announces about its availability for further calls.
 *
 * @param leaving whether the endpoint is about to leave
 * @param pauseMillis how long the endpoint wants no calls from this instance; empty if not stated
 * @param requestsPerSecond the request rate that the endpoint accepts from all instances together;
 *     empty if not stated
 * @param coldMillis how long the endpoint stays cold; empty if not stated, negative if the
 *     statement is invalid
 */
public record AvailabilityNotice(
    boolean leaving,
    OptionalLong pauseMillis,
    OptionalDouble requestsPerSecond,
    OptionalLong coldMillis) {

  /**
   * Creates the notice of an endpoint that does not state whether it is cold.
   *
   * @param leaving whether the endpoint is about to leave
   * @param pauseMillis how long the endpoint wants no calls from this instance
   * @param requestsPerSecond the request rate that it accepts from all instances together
   */
  public AvailabilityNotice(
      boolean leaving, OptionalLong pauseMillis, OptionalDouble requestsPerSecond) {
    this(leaving, pauseMillis, requestsPerSecond, OptionalLong.empty());
  }
}
