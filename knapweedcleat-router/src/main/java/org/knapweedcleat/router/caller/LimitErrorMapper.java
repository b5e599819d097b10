package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.router.gate.RateLimitDecision;

/** Says to callers why they got no tokens. */
final class LimitErrorMapper {

  private LimitErrorMapper() {}

  /** Returns the refusal for a denial. */
  static ErrorResponse toErrorResponse(RateLimitDecision.Denied denied) {
    return switch (denied.reason()) {
      case OVER_RATE ->
          reject(ErrorCode.OVER_RATE, denied, "the client account is over its rate");
      case OVER_BURST ->
          reject(ErrorCode.TOO_LARGE, denied, "the request is larger than the account's burst");
      case UNKNOWN_ACCOUNT, HOME_UNREACHABLE, NO_SHARE ->
          reject(
              ErrorCode.LIMIT_UNAVAILABLE,
              denied,
              "the account's tokens cannot be reached from here now");
    };
  }

  private static ErrorResponse reject(
      ErrorCode error, RateLimitDecision.Denied denied, String message) {
    return ErrorResponse.notRun(error, denied.retryAfterMillis(), message);
  }
}
