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
   * Tells whether a head names a request that the connection has carried, the current one included.
   *
   * @param head the headers of a response that was found within the body of another one
   * @return true if the two responses were joined
   */
  default boolean namesRequest(String head) {
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
