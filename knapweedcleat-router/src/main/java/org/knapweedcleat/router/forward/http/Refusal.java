package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.knapweedcleat.router.forward.codec.HeaderField;

/**
 * The response to a request that is not read to its end; the request has not run.
 *
 * @param status the status
 * @param reason why it is not read
 * @param retryAfterMillis when its caller may come back
 */
record Refusal(int status, String reason, OptionalLong retryAfterMillis) {

  static final Refusal AMBIGUOUS =
      of(400, "the framing or Host header of the request is ambiguous");
  static final Refusal TIMED_OUT = of(408, "the request was not received in time");
  static final Refusal TOO_LARGE = of(413, "the request body exceeds the size limit");

  private static final int BAD_REQUEST = 400;
  private static final int BODY_TOO_LARGE = 413;
  private static final int HEADER_TOO_LARGE = 431;
  private static final int BUSY = 503;
  private static final double MILLIS_PER_SECOND = 1_000;

  private static Refusal of(int status, String reason) {
    return new Refusal(status, reason, OptionalLong.empty());
  }

  static Refusal busy(long retryAfterMillis) {
    return new Refusal(BUSY, CallerIntake.NO_MEMORY, OptionalLong.of(retryAfterMillis));
  }

  /** Returns the refusal of bytes that the decoder did not accept. */
  static Refusal ofInvalid(Throwable cause, String reason) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      return of(HEADER_TOO_LARGE, reason);
    }
    return of(cause instanceof TooLongHttpContentException ? BODY_TOO_LARGE : BAD_REQUEST, reason);
  }

  boolean isForLoad() {
    return status == BUSY;
  }

  List<HeaderField> headers() {
    return retryAfterMillis.isEmpty()
        ? List.of()
        : List.of(
            new HeaderField(
                "Retry-After",
                String.format(
                    Locale.ROOT, "%.3f", retryAfterMillis.getAsLong() / MILLIS_PER_SECOND)));
  }
}
