package org.knapweedcleat.router.platform;

import java.util.Locale;

/** Reasons for the failure of a call to the platform. */
public enum PlatformFault {
  /** The platform could not be reached or did not complete its response. */
  UNREACHABLE,
  /** The platform responded with an unexpected HTTP status. */
  BAD_STATUS,
  /** The revision header or the body of the response is invalid. */
  BAD_ANSWER,
  /** The value is not published. */
  NOT_PUBLISHED;

  /**
   * Returns the name of the counter for this fault.
   *
   * @return the metric's name
   */
  public String metricName() {
    return "platform.calls.failed." + name().toLowerCase(Locale.ROOT);
  }
}
