package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/** Collects a short response and delivers it as a whole. */
public final class BufferedResponseListener implements ResponseListener {

  private final BiConsumer<ResponseHead, byte[]> onResponse;
  private final Consumer<TransportFailure> onFailure;
  private final Buffer body = Buffer.buffer();
  private ResponseHead head;

  private BufferedResponseListener(
      BiConsumer<ResponseHead, byte[]> onResponse, Consumer<TransportFailure> onFailure) {
    this.onResponse = onResponse;
    this.onFailure = onFailure;
  }

  /**
   * Returns a listener.
   *
   * @param onResponse receives the head and body of the response
   * @param onFailure receives the reason if there is no complete response
   * @return the listener
   */
  public static BufferedResponseListener of(
      BiConsumer<ResponseHead, byte[]> onResponse, Consumer<TransportFailure> onFailure) {
    return new BufferedResponseListener(onResponse, onFailure);
  }

  /**
   * Returns a listener that ignores the response.
   *
   * @return the listener
   */
  public static BufferedResponseListener ignored() {
    return of((head, body) -> {}, cause -> {});
  }

  @Override
  public void onHead(ResponseHead response) {
    head = response;
  }

  @Override
  public void onBody(Buffer bytes) {
    body.appendBuffer(bytes);
  }

  @Override
  public void onComplete() {
    onResponse.accept(head, body.getBytes());
  }

  @Override
  public void onFailure(TransportFailure cause) {
    onFailure.accept(cause);
  }
}
