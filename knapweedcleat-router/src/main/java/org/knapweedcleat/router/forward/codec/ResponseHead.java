package org.knapweedcleat.router.forward.codec;

import java.util.List;

/**
 * The head of an HTTP response.
 *
 * @param status the status
 * @param headers the headers in order
 */
public record ResponseHead(int status, List<HeaderField> headers) {

  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECTION_STATUS = 300;

  /** Copies the headers. */
  public ResponseHead {
    headers = List.copyOf(headers);
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
