package org.knapweedcleat.router.http;

import io.netty.handler.codec.http.HttpResponse;

/** The side of a connection that sends requests and receives their responses. */
public interface ResponseRecipient {

  /**
   * Tells whether a final response belongs to the request that waits for one.
   *
   * @param response the head of the response
   * @return false if the response is to be dropped
   */
  boolean isAwaited(HttpResponse response);

  /**
   * Tells whether a line behind a status line that was found within a response shows that another
   * response has begun there. A body may mention a status line.
   *
   * @param line the rest of the status line, or a header, without its end
   * @return true if two responses were joined
   */
  default boolean revealsResponse(String line) {
    return false;
  }

  /**
   * Receives the number of bytes that belong to no response. The connection should be closed, after
   * the response that has just ended if there is one.
   *
   * @param count the number of bytes, which are discarded
   */
  void onUnsolicitedBytes(int count);
}
