package org.knapweedcleat.core.attempt;

import java.util.Objects;

/**
 * The error answer to a request.
 *
 * @param error what went wrong
 * @param ran whether the request has run
 * @param retryAfterMillis when asking again may succeed, 0 for at once
 * @param message what happened, for people
 */
public record CallerFailure(CallerError error, Ran ran, long retryAfterMillis, String message) {

  /** Checks that the error may be said with the given {@code ran}. */
  public CallerFailure {
    Objects.requireNonNull(message, "message");
    if (!error.allows(ran)) {
      throw new IllegalArgumentException(error + " is never answered with ran=" + ran.word());
    }
  }

  /**
   * Returns a refusal of a request that has not run.
   *
   * @param error what went wrong
   * @param retryAfterMillis when asking again may succeed
   * @param message what happened
   * @return the failure
   */
  public static CallerFailure notRun(CallerError error, long retryAfterMillis, String message) {
    return new CallerFailure(error, Ran.NO, retryAfterMillis, message);
  }

  /**
   * Returns the wanted error when it is true to say it, else the one that says what may have run.
   *
   * @param error the wanted error
   * @param ran whether the request has run
   * @param retryAfterMillis when asking again may succeed
   * @param message what happened
   * @return the failure
   */
  public static CallerFailure truthful(
      CallerError error, Ran ran, long retryAfterMillis, String message) {
    CallerError said = error.allows(ran) ? error : fallback(error, ran);
    return new CallerFailure(said, ran, retryAfterMillis, message);
  }

  private static CallerError fallback(CallerError error, Ran ran) {
    if (ran != Ran.NO) {
      return CallerError.ENDPOINT_LOST;
    }
    return error == CallerError.KEY_WITHDRAWN ? CallerError.UNKNOWN_KEY : CallerError.NO_ENDPOINT;
  }
}
