package org.knapweedcleat.core.attempt;

import java.util.Objects;

/**
 * The error answer to a request.
 *
 * @param code what went wrong
 * @param executionStatus whether the request has run
 * @param retryAfterMillis when asking again may succeed, 0 for at once
 * @param message what happened, for people
 */
public record ErrorResponse(ErrorCode code, ExecutionStatus executionStatus, long retryAfterMillis, String message) {

  /** Checks that the error may be said with the given {@code ran}. */
  public ErrorResponse {
    Objects.requireNonNull(message, "message");
    if (!code.isAllowedWith(executionStatus)) {
      throw new IllegalArgumentException(code + " is never answered with ran=" + executionStatus.wireName());
    }
  }

  /**
   * Returns a refusal of a request that has not run.
   *
   * @param code what went wrong
   * @param retryAfterMillis when asking again may succeed
   * @param message what happened
   * @return the failure
   */
  public static ErrorResponse notRun(ErrorCode code, long retryAfterMillis, String message) {
    return new ErrorResponse(code, ExecutionStatus.NO, retryAfterMillis, message);
  }

  /**
   * Returns the wanted error when it is true to say it, else the one that says what may have run.
   *
   * @param preferred the wanted error
   * @param executionStatus whether the request has run
   * @param retryAfterMillis when asking again may succeed
   * @param message what happened
   * @return the failure
   */
  public static ErrorResponse withFallback(
      ErrorCode preferred, ExecutionStatus executionStatus, long retryAfterMillis, String message) {
    ErrorCode code = preferred.isAllowedWith(executionStatus) ? preferred : fallbackFor(preferred, executionStatus);
    return new ErrorResponse(code, executionStatus, retryAfterMillis, message);
  }

  private static ErrorCode fallbackFor(ErrorCode preferred, ExecutionStatus executionStatus) {
    if (executionStatus != ExecutionStatus.NO) {
      return ErrorCode.ENDPOINT_LOST;
    }
    return preferred == ErrorCode.KEY_WITHDRAWN ? ErrorCode.UNKNOWN_KEY : ErrorCode.NO_ENDPOINT;
  }
}
