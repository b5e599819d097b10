package org.knapweedcleat.router.platform;

import java.util.Locale;

/** Why a call to the platform brought nothing. */
public enum PlatformFault {
  /** The platform could not be reached or broke off. */
  UNREACHABLE,
  /** The platform answered with an unexpected status. */
  BAD_STATUS,
  /** The answer's revision or body does not read. */
  BAD_ANSWER,
  /** The value is not published. */
  NOT_PUBLISHED;

  /**
   * Returns the name of the counter.
   *
   * @return the metric's name
   */
  public String metricName() {
    return "platform.calls.failed." + name().toLowerCase(Locale.ROOT);
  }
}
