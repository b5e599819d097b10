package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/** A request to an endpoint that is under way; its connection is its own until its answer ends. */
public final class EndpointRequest implements ResponseListener {

  private final ResponseListener listener;
  private EndpointConnection connection;
  private boolean finished;
  private long bodyBytes;

  EndpointRequest(ResponseListener listener) {
    this.listener = listener;
  }

  void attach(EndpointConnection carrier) {
    connection = carrier;
  }

  boolean isFinished() {
    return finished;
  }

  /** Gives the request up; its listener hears nothing more. */
  public void abort() {
    if (!finished && connection != null) {
      connection.abort();
    }
    finished = true;
  }

  /** Pauses the answer. */
  public void pause() {
    if (!finished && connection != null) {
      connection.pause();
    }
  }

  /** Lets the answer go on. */
  public void resume() {
    if (!finished && connection != null) {
      connection.resume();
    }
  }

  @Override
  public void onHead(ResponseHead head) {
    listener.onHead(head);
  }

  @Override
  public void onBody(Buffer bytes) {
    if (finished) {
      return;
    }
    bodyBytes += bytes.length();
    if (bodyBytes > listener.maxBodyBytes()) {
      abort();
      listener.onFailure(TransportFailure.NOT_HTTP);
      return;
    }
    listener.onBody(bytes);
  }

  @Override
  public void onComplete() {
    finished = true;
    listener.onComplete();
  }

  @Override
  public void onFailure(TransportFailure cause) {
    if (!finished) {
      finished = true;
      listener.onFailure(cause);
    }
  }
}
