package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.ReplyHead;

/** Hears the answer to one request to an endpoint; the last call is an end or a break. */
public interface ReplyListener {

  /**
   * Hears the head of an answer that belongs to the request.
   *
   * @param head the head
   */
  void onHead(ReplyHead head);

  /**
   * Hears a part of the body.
   *
   * @param bytes the part
   */
  void onBody(Buffer bytes);

  /** Hears that the answer is whole. */
  void onEnd();

  /**
   * Hears that no whole answer will come.
   *
   * @param cause why
   */
  void onBroken(BrokenCause cause);
}
