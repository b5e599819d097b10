package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.knapweedcleat.router.forward.codec.ResponseHead;

/** Hears a short answer as a whole. */
public final class BufferedResponseListener implements ResponseListener {

  private final BiConsumer<ResponseHead, byte[]> onResponse;
  private final Consumer<TransportFailure> onFailure;
  private final Buffer body = Buffer.buffer();
  private ResponseHead head;

  private BufferedResponseListener(
      BiConsumer<ResponseHead, byte[]> onWhole, Consumer<TransportFailure> onBroken) {
    this.onResponse = onWhole;
    this.onFailure = onBroken;
  }

  /**
   * Returns a listener.
   *
   * @param onWhole hears head and body of the answer
   * @param onBroken hears why there is no answer
   * @return the listener
   */
  public static BufferedResponseListener of(
      BiConsumer<ResponseHead, byte[]> onWhole, Consumer<TransportFailure> onBroken) {
    return new BufferedResponseListener(onWhole, onBroken);
  }

  /**
   * Returns a listener to a call whose answer changes nothing.
   *
   * @return the listener
   */
  public static BufferedResponseListener ignored() {
    return of((head, body) -> {}, cause -> {});
  }

  @Override
  public void onHead(ResponseHead reply) {
    head = reply;
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
