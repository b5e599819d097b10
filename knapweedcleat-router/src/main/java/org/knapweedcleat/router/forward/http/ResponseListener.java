package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/**
 * Receives the response to one request to an endpoint; the last call is {@link #onComplete} or
 * {@link #onFailure}.
 */
public interface ResponseListener {

  /** Maximum size in bytes of a body that is buffered instead of passed on as it arrives. */
  long MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

  /**
   * Receives the head of the response.
   *
   * @param head the head
   */
  void onHead(ResponseHead head);

  /**
   * Receives a part of the body.
   *
   * @param bytes the part
   */
  void onBody(Buffer bytes);

  /**
   * Returns the maximum size of the body, asked after the head was received. The connection of a
   * longer body is closed, and the request fails.
   *
   * @return the size in bytes
   */
  default long maxBodyBytes() {
    return MAX_BUFFERED_BODY_BYTES;
  }

  /** Called when the response is complete. */
  void onComplete();

  /**
   * Called when no complete response will arrive.
   *
   * @param cause the reason
   */
  void onFailure(TransportFailure cause);
}
