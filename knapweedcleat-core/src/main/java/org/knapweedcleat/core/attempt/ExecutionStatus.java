package org.knapweedcleat.core.attempt;

import java.util.Locale;

/** Whether a request has run at an endpoint. */
public enum ExecutionStatus {
  /** No byte of it left for an endpoint, or the endpoint said that it did nothing. */
  NO,
  /** Bytes of it may have left. */
  MAYBE,
  /** The endpoint has answered at least in part. */
  YES;

  /**
   * Returns the word that callers see.
   *
   * @return the name in lower case
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
