package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.router.gate.LimitOutcome;

/** Says to callers why they got no tokens. */
final class LimitRefusals {

  private LimitRefusals() {}

  /** Returns the refusal for a denial. */
  static ErrorResponse of(LimitOutcome.Denied denied) {
    return switch (denied.reason()) {
      case OVER_RATE ->
          refuse(ErrorCode.OVER_RATE, denied, "the client account is over its rate");
      case OVER_BURST ->
          refuse(ErrorCode.TOO_LARGE, denied, "the request is larger than the account's burst");
      case UNKNOWN_ACCOUNT, HOME_UNREACHABLE, NO_SHARE ->
          refuse(
              ErrorCode.LIMIT_UNAVAILABLE,
              denied,
              "the account's tokens cannot be reached from here now");
    };
  }

  private static ErrorResponse refuse(
      ErrorCode error, LimitOutcome.Denied denied, String message) {
    return ErrorResponse.notRun(error, denied.retryAfterMillis(), message);
  }
}
