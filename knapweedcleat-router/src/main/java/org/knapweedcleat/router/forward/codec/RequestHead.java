package org.knapweedcleat.router.forward.codec;

import java.util.List;

/**
 * The head of an HTTP request.
 *
 * @param method the method
 * @param target the path and query as in the request line
 * @param headers the headers in order
 */
public record RequestHead(String method, String target, List<HeaderField> headers) {

  /** Copies the headers. */
  public RequestHead {
    headers = List.copyOf(headers);
  }

  /**
   * Returns the target without its query.
   *
   * @return the path
   */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
