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
 */
public record AvailabilityNotice(
    boolean leaving, OptionalLong pauseMillis, OptionalDouble requestsPerSecond) {}
