package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.intake.BodyProgress;
import org.knapweedcleat.core.intake.CallerMemoryBudget.Eviction;
import org.knapweedcleat.core.intake.HeldMemory;
import org.knapweedcleat.core.intake.SyntaxLimits;

/** A connection of a caller; its requests are handled in order, one at a time. */
final class CallerConnection implements InboundGate.Owner, CallerOutput.Listener {

  private static final String DECODER = "requests";
  private static final String ENCODER = "answers";
  private static final String VERTX_HANDLER = "handler";

  /** Number of pipelined requests from which on the connection is not read. */
  private static final int MAX_QUEUED_REQUESTS = 16;

  /** Netty's default, which a replaced allocator does not get. */
  private static final int MAX_READS_PER_PASS = 16;

  /** Time after the last response for the caller to read it and close the connection. */
  private static final long LINGER_MILLIS = 1_000;

  private final NetSocketInternal socket;
  private final CallerServer server;
  private final CallerIntake intake;
  private final HeldMemory held;
  private final IdleTimeout idleTimeout;
  private final InboundGate gate = new InboundGate(this);
  private final CallerOutput output;
  private final Deque<QueuedRequest> queuedRequests = new ArrayDeque<>();
  private StrictRequestDecoder decoder;
  private PartialRequest partialRequest;
  private PendingExchange current;
  private Optional<Refusal> refusal = Optional.empty();
  private boolean open = true;
  private boolean closesAfterResponse;
  private boolean lingers = true;
  private boolean queueFull;
  private long queuedBytes;
  private long lastByteMillis;
  private long headStartedMillis = -1;

  private CallerConnection(NetSocketInternal socket, CallerServer server) {
    this.socket = socket;
    this.server = server;
    this.output = new CallerOutput(socket, this);
    this.intake = server.intake();
    this.held = intake.open(this, String.valueOf(socket.remoteAddress()));
    this.lastByteMillis = server.nowMillis();
    this.idleTimeout = IdleTimeout.of(server.bounds().idleTimeoutMillis());
  }

  static CallerConnection accept(NetSocketInternal socket, CallerServer server) {
    CallerConnection connection = new CallerConnection(socket, server);
    connection.install();
    return connection;
  }

  private void install() {
    ChannelPipeline pipeline = socket.channelHandlerContext().pipeline();
    readUntilNothingIsLeft(pipeline.channel());
    pipeline.addBefore(VERTX_HANDLER, "gate", gate);
    decoder = new StrictRequestDecoder(intake.syntaxLimits());
    pipeline.addBefore(VERTX_HANDLER, DECODER, decoder);
    pipeline.addBefore(VERTX_HANDLER, ENCODER, new ResponseEncoder());
    socket.messageHandler(this::onMessage);
    socket.exceptionHandler(failure -> socket.close());
    socket.closeHandler(ignored -> onDisconnected());
  }

  HeldMemory held() {
    return held;
  }

  /** Makes a close that arrived behind a request known in the pass that reads the request. */
  private static void readUntilNothingIsLeft(Channel channel) {
    AdaptiveRecvByteBufAllocator buffers = new AdaptiveRecvByteBufAllocator();
    buffers.maxMessagesPerRead(MAX_READS_PER_PASS);
    buffers.respectMaybeMoreData(false);
    channel.config().setRecvByteBufAllocator(buffers);
  }

  /** Closes the connection if it is idle; a busy one announces the close in its next response. */
  void closeWhenIdle() {
    if (!isBusy()) {
      close();
    }
  }

  /** Tells whether a request is being received or handled, or its response being written. */
  boolean isBusy() {
    return current != null || output.isWriting() || hasNextRequest();
  }

  /** Tells whether another request was received, at least in part. */
  private boolean hasNextRequest() {
    return open
        && (gate.isHeld()
            || gate.pendingBytes() > 0
            || !queuedRequests.isEmpty()
            || partialRequest != null
            || headStartedMillis >= 0
            || refusal.isPresent());
  }

  /** Tells whether the next response says that it is the last one. */
  boolean announcesClose() {
    return server.isClosing() && !hasNextRequest();
  }

  void close() {
    open = false;
    socket.close();
  }

  /** Frees what the connection holds, with a refusal if that can be told. */
  void closeNow(Eviction eviction) {
    lingers = false;
    if (eviction == Eviction.REFUSE && current == null && !output.isWriting()) {
      refuseForLoad();
    } else {
      close();
    }
  }

  /** Refuses the request that is being received; it has not run. */
  void refuseForLoad() {
    if (refusal.isEmpty() && open) {
      refuse(Refusal.busy(intake.retryAfterMillis(held)));
    }
  }

  /** Ends the connection if the caller exceeds the header or idle timeout. */
  void enforceTimeouts(RequestLimits bounds, long nowMillis) {
    if (current != null || output.isWriting() || !open || held.isStopped()) {
      return;
    }
    boolean headTimedOut =
        partialRequest == null
            && headStartedMillis >= 0
            && nowMillis - headStartedMillis > bounds.headerTimeoutMillis();
    boolean bodyStopped =
        partialRequest != null && partialRequest.hasStopped(bounds.idleTimeoutMillis(), nowMillis);
    boolean idle = idleTimeout.hasElapsed(bounds.idleTimeoutMillis(), lastByteMillis, nowMillis);
    if (headTimedOut || bodyStopped || (idle && partialRequest != null)) {
      refuse(Refusal.TIMED_OUT);
    } else if (idle) {
      close();
    }
  }

  private void onMessage(Object message) {
    try {
      if (refusal.isPresent() || !open) {
        return;
      }
      if (message instanceof HttpMessage head && head.decoderResult().isFailure()) {
        refuse(Refusal.ofInvalid(head.decoderResult().cause(), "the request is not valid HTTP"));
        return;
      }
      if (message instanceof HttpRequest head) {
        onHead(head);
      }
      if (message instanceof HttpContent content && partialRequest != null) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpRequest head) {
    headStartedMillis = -1;
    if (StrictRequestDecoder.isAmbiguous(head)) {
      refuse(Refusal.AMBIGUOUS);
      return;
    }
    long bodyBytes = HttpUtil.getContentLength(head, 0L);
    if (bodyBytes > server.bounds().maxBodyBytes()) {
      refuse(Refusal.TOO_LARGE);
      return;
    }
    if (!intake.admitsBody(held, bodyBytes)) {
      refuseForLoad();
      return;
    }
    BodyProgress progress = BodyProgress.begin(intake.limits().minBodyBytes(), server.nowMillis());
    IdleTimeout timeout = IdleTimeout.of(server.bounds().idleTimeoutMillis());
    partialRequest = new PartialRequest(head, decoder.headBytes(), progress, timeout);
    handleNext();
  }

  private void sendContinue() {
    partialRequest.continueSent(server.nowMillis());
    HttpResponse proceed =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    socket.writeMessage(proceed);
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      refuse(
          Refusal.ofInvalid(
              content.decoderResult().cause(), "the chunked request body is malformed"));
      return;
    }
    ByteBuf bytes = content.content();
    if (partialRequest.length() + bytes.readableBytes() > server.bounds().maxBodyBytes()) {
      refuse(Refusal.TOO_LARGE);
      return;
    }
    partialRequest.append(bytes, server.nowMillis());
    if (content instanceof LastHttpContent) {
      QueuedRequest complete = partialRequest.complete();
      partialRequest = null;
      queuedRequests.add(complete);
      queuedBytes += complete.heapBytes();
      queueFull = queuedRequests.size() >= MAX_QUEUED_REQUESTS;
      handleNext();
    }
  }

  /**
   * Rejects a request that is not read any further after the requests before it were answered, and
   * closes the connection, since the end of the request is unknown.
   */
  private void refuse(Refusal cause) {
    refusal = Optional.of(cause);
    partialRequest = null;
    headStartedMillis = -1;
    gate.discard(intake.limits().maxDiscardedBytes());
    ChannelPipeline pipeline = socket.channelHandlerContext().pipeline();
    if (pipeline.context(decoder) != null) {
      // Frees the part of a head that it holds.
      pipeline.remove(decoder);
    }
    if (!cause.isForLoad()) {
      server.onRejected(cause.status(), cause.reason());
    }
    reportHeld();
    handleNext();
  }

  private void sendRefusal(Refusal cause) {
    HttpResponse response = CallerOutput.newResponse(cause.status(), cause.headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    output.write(response, 0);
    output.writeEnd();
    closeAfterResponse();
  }

  CallerOutput output() {
    return output;
  }

  /** Reports the memory of the current exchange; false if its response is to be passed on. */
  boolean mayHoldResponse(long responseBytes) {
    reportHeld();
    return intake.mayHoldResponse(held, responseBytes);
  }

  @Override
  public void onUnreadBytesChanged(boolean isWritten) {
    if (isWritten) {
      intake.recordProgress(held);
    }
    reportHeld();
    if (isWritten) {
      handleNext();
    }
  }

  /** Continues to read after the budget has stopped it. */
  void resumeReading() {
    if (partialRequest != null) {
      partialRequest.restartTimeout(server.nowMillis());
    }
    restartTimeouts();
    gate.resume();
  }

  private void handleNext() {
    if (current != null || !open || gate.isFeeding() || !isConnected()) {
      return;
    }
    if (!queuedRequests.isEmpty()) {
      if (intake.admitsNextCall(held)) {
        handle(queuedRequests.poll());
      }
    } else if (refusal.isPresent()) {
      sendRefusal(refusal.get());
    } else if (partialRequest != null && partialRequest.isContinueExpected()) {
      sendContinue();
    }
  }

  private void handle(QueuedRequest request) {
    queuedBytes -= request.heapBytes();
    PendingExchange exchange = new PendingExchange(this, request);
    current = exchange;
    reportHeld();
    if (intake.admitsCall(held)) {
      server.handle(exchange);
    } else {
      Refusal busy = Refusal.busy(intake.retryAfterMillis(held));
      exchange.respond(busy.status(), busy.headers(), Buffer.buffer());
    }
    if (queueFull && queuedRequests.isEmpty()) {
      queueFull = false;
      gate.resume();
    }
  }

  /** Returns false as soon as the close of the caller was read; its event follows later. */
  private boolean isConnected() {
    return socket.channelHandlerContext().channel().isActive();
  }

  private void onDisconnected() {
    open = false;
    queuedRequests.clear();
    server.onConnectionClosed(this);
    PendingExchange interrupted = current;
    current = null;
    if (interrupted != null) {
      interrupted.callerDisconnected();
    }
  }

  @Override
  public void onResponseWritten(boolean isComplete) {
    restartTimeouts();
    if (!isComplete) {
      close();
    } else if (closesAfterResponse && !output.isWriting()) {
      linger();
    }
  }

  private void closeAfterResponse() {
    open = false;
    closesAfterResponse = true;
    if (refusal.isEmpty()) {
      // A request that crosses the close stays unread, so that its caller may repeat it.
      gate.stop();
    }
    if (!output.isWriting()) {
      linger();
    }
  }

  /**
   * Ends the sending side and gives the caller time to read the response, since closing a socket
   * with unread bytes resets the connection and may destroy the end of the response. What follows
   * an unreadable request is discarded meanwhile.
   */
  private void linger() {
    if (!lingers) {
      socket.close();
      return;
    }
    output.shutdown();
    server.schedule(LINGER_MILLIS, socket::close);
  }

  private void restartTimeouts() {
    lastByteMillis = server.nowMillis();
    if (headStartedMillis >= 0) {
      headStartedMillis = lastByteMillis;
    }
  }

  /** Completes the response of the current exchange. */
  void endResponse(boolean keepAlive) {
    output.writeEnd();
    current = null;
    reportHeld();
    restartTimeouts();
    if (!keepAlive) {
      closeAfterResponse();
      return;
    }
    handleNext();
  }

  @Override
  public boolean mayFeed() {
    return open && refusal.isEmpty() && !queueFull && intake.mayRead(held);
  }

  @Override
  public void onArrival() {
    lastByteMillis = server.nowMillis();
    intake.recordProgress(held);
  }

  @Override
  public void beforeSlice(ByteBuf slice) {
    SyntaxLimits limits = intake.syntaxLimits();
    if (decoder.isOutdated(limits)) {
      StrictRequestDecoder replacement = new StrictRequestDecoder(limits);
      socket.channelHandlerContext().pipeline().replace(decoder, DECODER, replacement);
      decoder = replacement;
    }
    // Empty lines before a request are skipped by the decoder.
    boolean startsRequest =
        partialRequest == null
            && headStartedMillis < 0
            && slice.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
    if (startsRequest) {
      headStartedMillis = lastByteMillis;
    }
  }

  @Override
  public void afterSlice() {
    if (partialRequest == null && headStartedMillis < 0 && !decoder.isIdle() && open) {
      headStartedMillis = lastByteMillis;
    }
    reportHeld();
  }

  @Override
  public void afterFeeding() {
    // Runs after all bytes are read that have arrived, and a close of the caller with them.
    socket.channelHandlerContext().executor().execute(this::handleNext);
  }

  @Override
  public void onDiscardLimit() {
    if (closesAfterResponse && !output.isWriting()) {
      socket.close();
    }
  }

  private void reportHeld() {
    boolean receives = open && refusal.isEmpty();
    boolean isPartial =
        receives && (partialRequest != null || gate.pendingBytes() > 0 || !decoder.isIdle());
    long partialBytes =
        isPartial
            ? gate.pendingBytes()
                + decoder.heapBytes()
                + (partialRequest == null ? 0 : partialRequest.heapBytes())
            : 0;
    long completeBytes = queuedBytes + (current == null ? 0 : current.heapBytes());
    intake.update(held, isPartial, partialBytes, completeBytes, output.unreadBytes());
  }

  /** Encodes responses; those to HEAD requests have a length and no body. */
  private final class ResponseEncoder extends HttpResponseEncoder {
    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
      return super.isContentAlwaysEmpty(response) || (current != null && current.isHeadOnly());
    }
  }
}
