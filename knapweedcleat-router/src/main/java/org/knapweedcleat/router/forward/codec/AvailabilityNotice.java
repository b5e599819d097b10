package org.knapweedcleat.router.forward.codec;

import java.util.OptionalLong;

/**
 * What an endpoint's answer says of further calls.
 *
 * @param leaving whether the endpoint is about to leave
 * @param pauseMillis how long it wants no calls from this instance, if it says so
 */
public record AvailabilityNotice(boolean leaving, OptionalLong pauseMillis) {}
