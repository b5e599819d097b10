package org.knapweedcleat.router.forward.http;

import io.vertx.core.buffer.Buffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.knapweedcleat.router.forward.codec.ReplyHead;

/** Hears a short answer as a whole. */
public final class CollectedReply implements ReplyListener {

  private final BiConsumer<ReplyHead, byte[]> onWhole;
  private final Consumer<BrokenCause> onBroken;
  private final Buffer body = Buffer.buffer();
  private ReplyHead head;

  private CollectedReply(BiConsumer<ReplyHead, byte[]> onWhole, Consumer<BrokenCause> onBroken) {
    this.onWhole = onWhole;
    this.onBroken = onBroken;
  }

  /**
   * Returns a listener.
   *
   * @param onWhole hears head and body of the answer
   * @param onBroken hears why there is no answer
   * @return the listener
   */
  public static CollectedReply of(
      BiConsumer<ReplyHead, byte[]> onWhole, Consumer<BrokenCause> onBroken) {
    return new CollectedReply(onWhole, onBroken);
  }

  /**
   * Returns a listener to a call whose answer changes nothing.
   *
   * @return the listener
   */
  public static CollectedReply ignored() {
    return of((head, body) -> {}, cause -> {});
  }

  @Override
  public void onHead(ReplyHead reply) {
    head = reply;
  }

  @Override
  public void onBody(Buffer bytes) {
    body.appendBuffer(bytes);
  }

  @Override
  public void onEnd() {
    onWhole.accept(head, body.getBytes());
  }

  @Override
  public void onBroken(BrokenCause cause) {
    onBroken.accept(cause);
  }
}
