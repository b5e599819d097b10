package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.knapweedcleat.core.intake.BodyProgress;
import org.knapweedcleat.core.intake.HeapCost;

/** A request whose head was received and whose body is being received. */
final class PartialRequest {

  private final HttpRequest head;
  private final boolean keepAlive;
  private final long headHeapBytes;
  private final SegmentedBody body = new SegmentedBody();
  private final BodyProgress progress;
  private final IdleTimeout timeout;
  private boolean continueExpected;

  PartialRequest(HttpRequest head, int headBytes, BodyProgress progress, IdleTimeout timeout) {
    this.head = head;
    this.keepAlive = HttpUtil.isKeepAlive(head);
    this.headHeapBytes = HeapCost.ofCallHead(head.headers().size(), headBytes);
    this.progress = progress;
    this.timeout = timeout;
    this.continueExpected = HttpUtil.is100ContinueExpected(head);
  }

  boolean isContinueExpected() {
    return continueExpected;
  }

  void continueSent(long nowMillis) {
    continueExpected = false;
    progress.restart(nowMillis);
  }

  int length() {
    return body.length();
  }

  long heapBytes() {
    return headHeapBytes + body.capacityBytes();
  }

  void append(ByteBuf bytes, long nowMillis) {
    progress.record(bytes.readableBytes(), nowMillis);
    body.append(bytes);
  }

  /** Begins a new timeout, after time in which the connection was not read. */
  void restartTimeout(long nowMillis) {
    progress.restart(nowMillis);
  }

  boolean hasStopped(long timeoutMillis, long nowMillis) {
    return timeout.hasElapsed(timeoutMillis, progress.windowStartMillis(), nowMillis);
  }

  QueuedRequest complete() {
    return new QueuedRequest(head, keepAlive, body.toBuffer(), heapBytes());
  }
}
