package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/** Hears the answer to one request to an endpoint; the last call is an end or a break. */
public interface ResponseListener {

  /** The most bytes of a body that is held and not passed on as it comes. */
  long MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

  /**
   * Hears the head of an answer that belongs to the request.
   *
   * @param head the head
   */
  void onHead(ResponseHead head);

  /**
   * Hears a part of the body.
   *
   * @param bytes the part
   */
  void onBody(Buffer bytes);

  /**
   * Says how long a body may become of which the head was heard; a longer one is no answer, and its
   * connection is closed.
   *
   * @return bytes
   */
  default long maxBodyBytes() {
    return MAX_BUFFERED_BODY_BYTES;
  }

  /** Hears that the answer is whole. */
  void onComplete();

  /**
   * Hears that no whole answer will come.
   *
   * @param cause why
   */
  void onFailure(TransportFailure cause);
}
