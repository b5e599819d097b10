package org.knapweedcleat.core.attempt;

import java.util.EnumSet;
import java.util.Set;
import org.knapweedcleat.core.schedule.RefusalReason;

/** The errors that callers can receive, with their HTTP status codes. */
public enum ErrorCode {
  /** The request is not valid HTTP or JSON, or a field of it is out of range. */
  MALFORMED(400, EnumSet.of(ExecutionStatus.NO)),
  /** The API key is missing, unknown or was withdrawn before the request started. */
  UNKNOWN_KEY(401, EnumSet.of(ExecutionStatus.NO)),
  /** No route is declared for the method and path. */
  NO_ROUTE(404, EnumSet.of(ExecutionStatus.NO)),
  /** The first call with the ticket is still running. */
  TICKET_IN_USE(409, EnumSet.of(ExecutionStatus.MAYBE)),
  /** The incarnation that issued the ticket is gone or does not respond. */
  TICKET_LOST(410, EnumSet.of(ExecutionStatus.MAYBE)),
  /** The ticket has expired. */
  TICKET_EXPIRED(410, EnumSet.of(ExecutionStatus.MAYBE)),
  /** The body, the headers or the prompt exceed a size limit. */
  TOO_LARGE(413, EnumSet.of(ExecutionStatus.NO)),
  /** The client account exceeded its rate and burst. */
  OVER_RATE(429, EnumSet.of(ExecutionStatus.NO)),
  /** The API key was withdrawn while the request was running. */
  KEY_WITHDRAWN(499, EnumSet.of(ExecutionStatus.MAYBE, ExecutionStatus.YES)),
  /** An endpoint failed after bytes of the request had been sent to it. */
  ENDPOINT_LOST(502, EnumSet.of(ExecutionStatus.MAYBE, ExecutionStatus.YES)),
  /** The request can no longer meet its deadline. */
  DEADLINE(503, EnumSet.of(ExecutionStatus.NO)),
  /** The request queue is full. */
  QUEUE_FULL(503, EnumSet.of(ExecutionStatus.NO)),
  /** No endpoint of the pool accepts new work. */
  NO_ENDPOINT(503, EnumSet.of(ExecutionStatus.NO)),
  /** The instance is shutting down. */
  DRAINING(503, EnumSet.of(ExecutionStatus.NO)),
  /** The instance has exhausted its retry budget. */
  RETRY_BUDGET(503, EnumSet.of(ExecutionStatus.NO)),
  /** The instance has not applied any configuration document yet. */
  NOT_READY(503, EnumSet.of(ExecutionStatus.NO)),
  /** The rate limit of the client account cannot be checked. */
  LIMIT_UNAVAILABLE(503, EnumSet.of(ExecutionStatus.NO)),
  /** The platform has not confirmed the API keys recently enough. */
  KEY_UNCONFIRMED(503, EnumSet.of(ExecutionStatus.NO));

  private final int httpStatus;
  private final Set<ExecutionStatus> allowedStatuses;

  ErrorCode(int httpStatus, Set<ExecutionStatus> allowed) {
    this.httpStatus = httpStatus;
    this.allowedStatuses = allowed;
  }

  /**
   * Returns the error that corresponds to a scheduler's refusal.
   *
   * @param reason the scheduler's reason
   * @return the error of the same name
   */
  public static ErrorCode of(RefusalReason reason) {
    return valueOf(reason.name());
  }

  /**
   * Returns the HTTP status of the error response.
   *
   * @return the HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether this error may be reported for a request in the given execution status.
   *
   * @param status whether the request has run
   * @return false if another error has to be reported
   */
  public boolean isAllowedWith(ExecutionStatus status) {
    return allowedStatuses.contains(status);
  }
}
