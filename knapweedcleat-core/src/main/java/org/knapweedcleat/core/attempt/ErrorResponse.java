package org.knapweedcleat.core.attempt;

import java.util.Objects;

/**
 * An error response to a caller's request.
 *
 * @param code the error
 * @param executionStatus whether the request has run
 * @param retryAfterMillis the delay before a retry, 0 for none
 * @param message a human-readable description
 */
public record ErrorResponse(
    ErrorCode code, ExecutionStatus executionStatus, long retryAfterMillis, String message) {

  /** Checks that the error is allowed with the execution status. */
  public ErrorResponse {
    Objects.requireNonNull(message, "message");
    if (!code.isAllowedWith(executionStatus)) {
      throw new IllegalArgumentException(
          code + " is not allowed with ran=" + executionStatus.wireName());
    }
  }

  /**
   * Returns the error response for a request that has not run.
   *
   * @param code the error
   * @param retryAfterMillis the delay before a retry
   * @param message a human-readable description
   * @return the error response
   */
  public static ErrorResponse notRun(ErrorCode code, long retryAfterMillis, String message) {
    return new ErrorResponse(code, ExecutionStatus.NO, retryAfterMillis, message);
  }

  /**
   * Returns a response with the preferred error, or with a fallback if that error is not allowed
   * with the execution status.
   *
   * @param preferred the preferred error
   * @param executionStatus whether the request has run
   * @param retryAfterMillis the delay before a retry
   * @param message a human-readable description
   * @return the error response
   */
  public static ErrorResponse withFallback(
      ErrorCode preferred, ExecutionStatus executionStatus, long retryAfterMillis, String message) {
    ErrorCode code =
        preferred.isAllowedWith(executionStatus)
            ? preferred
            : fallbackFor(preferred, executionStatus);
    return new ErrorResponse(code, executionStatus, retryAfterMillis, message);
  }

  private static ErrorCode fallbackFor(ErrorCode preferred, ExecutionStatus executionStatus) {
    if (executionStatus != ExecutionStatus.NO) {
      return ErrorCode.ENDPOINT_LOST;
    }
    return preferred == ErrorCode.KEY_WITHDRAWN ? ErrorCode.UNKNOWN_KEY : ErrorCode.NO_ENDPOINT;
  }
}
