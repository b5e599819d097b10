package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.CallerError;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.router.gate.LimitOutcome;

/** Says to callers why they got no tokens. */
final class LimitRefusals {

  private LimitRefusals() {}

  /** Returns the refusal for a denial. */
  static CallerFailure of(LimitOutcome.Denied denied) {
    return switch (denied.reason()) {
      case OVER_RATE ->
          refuse(CallerError.OVER_RATE, denied, "the client account is over its rate");
      case OVER_BURST ->
          refuse(CallerError.TOO_LARGE, denied, "the request is larger than the account's burst");
      case UNKNOWN_ACCOUNT, HOME_UNREACHABLE, NO_SHARE ->
          refuse(
              CallerError.LIMIT_UNAVAILABLE,
              denied,
              "the account's tokens cannot be reached from here now");
    };
  }

  private static CallerFailure refuse(
      CallerError error, LimitOutcome.Denied denied, String message) {
    return CallerFailure.notRun(error, denied.retryAfterMillis(), message);
  }
}
