package org.knapweedcleat.core.schedule;

/** Why a request is refused before any byte of it left for an endpoint. */
public enum RefusalReason {
  /** The client account is over its rate and burst. */
  OVER_RATE(429),
  /** The request cannot meet its deadline any more. */
  DEADLINE(503),
  /** Too many requests wait already. */
  QUEUE_FULL(503),
  /** No endpoint of the pool takes new work. */
  NO_ENDPOINT(503),
  /** The request needs more memory than any endpoint has. */
  TOO_LARGE(413),
  /** The instance is stopping. */
  DRAINING(503),
  /** The retries that the service may spend are used up. */
  RETRY_BUDGET(503);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the status that the caller gets.
   *
   * @return the HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }
}
