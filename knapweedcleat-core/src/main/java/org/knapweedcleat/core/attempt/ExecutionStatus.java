package org.knapweedcleat.core.attempt;

import java.util.Locale;

/** Whether a request has been executed by an endpoint. */
public enum ExecutionStatus {
  /**
   * No byte of the request was sent to an endpoint, or the endpoint reported that it did nothing.
   */
  NO,
  /** Bytes of the request may have been sent. */
  MAYBE,
  /** The endpoint has sent at least part of its answer. */
  YES;

  /**
   * Returns the name used in responses to callers.
   *
   * @return the name in lower case
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
