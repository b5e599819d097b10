package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.ReplyHead;

/** A request to an endpoint that is under way; its connection is its own until its answer ends. */
public final class EndpointRequest implements ReplyListener {

  private final ReplyListener listener;
  private EndpointConnection connection;
  private boolean over;
  private long bodyBytes;

  EndpointRequest(ReplyListener listener) {
    this.listener = listener;
  }

  void begin(EndpointConnection carrier) {
    connection = carrier;
  }

  boolean isOver() {
    return over;
  }

  /** Gives the request up; its listener hears nothing more. */
  public void abort() {
    if (!over && connection != null) {
      connection.abort();
    }
    over = true;
  }

  /** Pauses the answer. */
  public void pause() {
    if (!over && connection != null) {
      connection.pause();
    }
  }

  /** Lets the answer go on. */
  public void resume() {
    if (!over && connection != null) {
      connection.resume();
    }
  }

  @Override
  public void onHead(ReplyHead head) {
    listener.onHead(head);
  }

  @Override
  public void onBody(Buffer bytes) {
    if (over) {
      return;
    }
    bodyBytes += bytes.length();
    if (bodyBytes > listener.maxBodyBytes()) {
      abort();
      listener.onBroken(BrokenCause.NOT_HTTP);
      return;
    }
    listener.onBody(bytes);
  }

  @Override
  public void onEnd() {
    over = true;
    listener.onEnd();
  }

  @Override
  public void onBroken(BrokenCause cause) {
    if (!over) {
      over = true;
      listener.onBroken(cause);
    }
  }
}
