package org.knapweedcleat.core.attempt;

import java.util.EnumSet;
import java.util.Set;
import org.knapweedcleat.core.schedule.RefusalReason;

/** The errors that a caller can be answered with. */
public enum ErrorCode {
  /** The request is not valid HTTP or JSON, or a field of it is out of range. */
  MALFORMED(400, EnumSet.of(ExecutionStatus.NO)),
  /** The key is missing, not known or was withdrawn before the request began. */
  UNKNOWN_KEY(401, EnumSet.of(ExecutionStatus.NO)),
  /** No route is declared for the method and path. */
  NO_ROUTE(404, EnumSet.of(ExecutionStatus.NO)),
  /** The first call with the ticket is still running. */
  TICKET_IN_USE(409, EnumSet.of(ExecutionStatus.MAYBE)),
  /** The incarnation that gave the ticket is gone or does not answer. */
  TICKET_LOST(410, EnumSet.of(ExecutionStatus.MAYBE)),
  /** The ticket's time is over. */
  TICKET_EXPIRED(410, EnumSet.of(ExecutionStatus.MAYBE)),
  /** The body, the headers or the prompt are over a limit. */
  TOO_LARGE(413, EnumSet.of(ExecutionStatus.NO)),
  /** The client account is over its rate and burst. */
  OVER_RATE(429, EnumSet.of(ExecutionStatus.NO)),
  /** The key was withdrawn while the request was running. */
  KEY_WITHDRAWN(499, EnumSet.of(ExecutionStatus.MAYBE, ExecutionStatus.YES)),
  /** An endpoint failed after bytes of the request had left for it. */
  ENDPOINT_LOST(502, EnumSet.of(ExecutionStatus.MAYBE, ExecutionStatus.YES)),
  /** The request cannot meet its deadline any more. */
  DEADLINE(503, EnumSet.of(ExecutionStatus.NO)),
  /** Too many requests wait already. */
  QUEUE_FULL(503, EnumSet.of(ExecutionStatus.NO)),
  /** No endpoint of the pool takes new work. */
  NO_ENDPOINT(503, EnumSet.of(ExecutionStatus.NO)),
  /** The instance is stopping. */
  DRAINING(503, EnumSet.of(ExecutionStatus.NO)),
  /** The retries that the instance may spend are used up. */
  RETRY_BUDGET(503, EnumSet.of(ExecutionStatus.NO)),
  /** The instance has no document in force yet. */
  NOT_READY(503, EnumSet.of(ExecutionStatus.NO)),
  /** The client account's tokens cannot be reached. */
  LIMIT_UNAVAILABLE(503, EnumSet.of(ExecutionStatus.NO)),
  /** The platform has not confirmed the keys for too long. */
  KEY_UNCONFIRMED(503, EnumSet.of(ExecutionStatus.NO));

  private final int httpStatus;
  private final Set<ExecutionStatus> allowedStatuses;

  ErrorCode(int httpStatus, Set<ExecutionStatus> allowed) {
    this.httpStatus = httpStatus;
    this.allowedStatuses = allowed;
  }

  /**
   * Returns the error for a scheduler's refusal.
   *
   * @param reason why the scheduler refused
   * @return the error of the same name
   */
  public static ErrorCode of(RefusalReason reason) {
    return valueOf(reason.name());
  }

  /**
   * Returns the status of the answer.
   *
   * @return the HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Tells whether the error may be said of a request that has run so far.
   *
   * @param status whether the request has run
   * @return false if another error has to be said
   */
  public boolean isAllowedWith(ExecutionStatus status) {
    return allowedStatuses.contains(status);
  }
}
