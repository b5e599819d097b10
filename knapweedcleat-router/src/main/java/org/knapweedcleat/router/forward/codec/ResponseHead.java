package org.knapweedcleat.router.forward.codec;

import java.util.List;

/**
 * The head of an HTTP response.
 *
 * @param status the status
 * @param headers the headers in order
 * @param chunked whether the body comes in chunks, so that its end is explicit
 */
public record ResponseHead(int status, List<HeaderField> headers, boolean chunked) {

  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECTION_STATUS = 300;

  /** Copies the headers. */
  public ResponseHead {
    headers = List.copyOf(headers);
  }

  /**
   * Creates the head of a response whose body does not come in chunks.
   *
   * @param status the status
   * @param headers the headers in order
   */
  public ResponseHead(int status, List<HeaderField> headers) {
    this(status, headers, false);
  }

  /**
   * Tells whether the status indicates success.
   *
   * @return true for 200 to 299
   */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;
  }
}
