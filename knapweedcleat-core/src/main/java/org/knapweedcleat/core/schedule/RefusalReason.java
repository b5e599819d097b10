package org.knapweedcleat.core.schedule;

/** Why a request is refused before any of it is sent to an endpoint. */
public enum RefusalReason {
  /** The client account is over its rate and burst. */
  OVER_RATE(429),
  /** The request can no longer meet its deadline. */
  DEADLINE(503),
  /** The queue is full, or the account has used up its share of it. */
  QUEUE_FULL(503),
  /** No endpoint of the pool accepts new work. */
  NO_ENDPOINT(503),
  /** The request needs more memory than any endpoint has. */
  TOO_LARGE(413),
  /** The instance is stopping. */
  DRAINING(503),
  /** The service's retry budget is exhausted. */
  RETRY_BUDGET(503);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the HTTP status for the caller.
   *
   * @return the HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }
}
