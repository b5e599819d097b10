package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/** A pending request to an endpoint; it owns its connection until the response ends. */
public final class EndpointRequest implements ResponseListener {

  private final ResponseListener listener;
  private EndpointConnection connection;
  private boolean finished;
  private long bodyBytes;

  EndpointRequest(ResponseListener listener) {
    this.listener = listener;
  }

  void attach(EndpointConnection assigned) {
    connection = assigned;
  }

  boolean isFinished() {
    return finished;
  }

  /** Aborts the request; its listener is not called again. */
  public void abort() {
    if (!finished && connection != null) {
      connection.abort();
    }
    finished = true;
  }

  /** Pauses reading the response. */
  public void pause() {
    if (!finished && connection != null) {
      connection.pause();
    }
  }

  /** Resumes reading the response. */
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
