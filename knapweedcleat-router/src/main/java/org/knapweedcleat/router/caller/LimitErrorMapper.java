package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.router.gate.RateLimitDecision;

/** Maps denials of the rate limiter to error responses. */
final class LimitErrorMapper {

  private LimitErrorMapper() {}

  static ErrorResponse toErrorResponse(RateLimitDecision.Denied denied) {
    return switch (denied.reason()) {
      case OVER_RATE ->
          reject(ErrorCode.OVER_RATE, denied, "the client account has exceeded its rate limit");
      case OVER_BURST ->
          reject(
              ErrorCode.TOO_LARGE,
              denied,
              "the request needs more tokens than the client account's burst");
      case UNKNOWN_ACCOUNT, HOME_UNREACHABLE, NO_SHARE ->
          reject(
              ErrorCode.LIMIT_UNAVAILABLE,
              denied,
              "the rate limit of the client account cannot be checked at the moment");
    };
  }

  private static ErrorResponse reject(
      ErrorCode error, RateLimitDecision.Denied denied, String message) {
    return ErrorResponse.notRun(error, denied.retryAfterMillis(), message);
  }
}
