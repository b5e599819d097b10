package org.knapweedcleat.router.forward.codec;

import java.util.List;

/**
 * The head of an HTTP answer.
 *
 * @param status the status
 * @param headers the headers in their order
 */
public record ReplyHead(int status, List<HeaderField> headers) {

  private static final int SUCCESS = 200;
  private static final int REDIRECTION = 300;

  /** Copies the headers. */
  public ReplyHead {
    headers = List.copyOf(headers);
  }

  /**
   * Tells whether the status is a success.
   *
   * @return true for 200 to 299
   */
  public boolean isSuccess() {
    return status >= SUCCESS && status < REDIRECTION;
  }
}
