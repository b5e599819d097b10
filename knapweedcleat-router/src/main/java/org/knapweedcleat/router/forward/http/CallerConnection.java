package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.RequestHead;

/** A connection of a caller; its requests are handled in order, one at a time. */
final class CallerConnection {

  private static final String DECODER = "requests";
  private static final String ENCODER = "answers";
  private static final String VERTX_HANDLER = "handler";

  /** Number of pipelined requests from which on the connection is not read. */
  private static final int MAX_QUEUED_REQUESTS = 16;

  /** Netty's default, which a replaced allocator does not get. */
  private static final int MAX_READS_PER_PASS = 16;

  /** Time after the last response for the caller to read it and close the connection. */
  private static final long LINGER_MILLIS = 1_000;

  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_LARGE = 413;
  private static final int HEADER_TOO_LARGE = 431;

  private final NetSocketInternal socket;
  private final CallerServer server;
  private final IdleTimeout idleTimeout;
  private final Deque<QueuedRequest> queuedRequests = new ArrayDeque<>();
  private HttpRequest partialRequest;
  private boolean partialKeepsAlive;
  private Buffer partialBody;
  private boolean continueExpected;
  private Exchange current;
  private OptionalInt refusalStatus = OptionalInt.empty();
  private boolean open = true;
  private boolean closesAfterResponse;
  private boolean paused;
  private boolean decoding;
  private int unwrittenResponses;
  private long lastByteMillis;
  private long headStartedMillis = -1;

  private record QueuedRequest(HttpRequest head, boolean keepAlive, Buffer body) {}

  private CallerConnection(NetSocketInternal socket, CallerServer server) {
    this.socket = socket;
    this.server = server;
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
    pipeline.addBefore(VERTX_HANDLER, "arrivals", new ArrivalMonitor());
    int maxHeaderBytes = server.bounds().maxHeaderBytes();
    pipeline.addBefore(VERTX_HANDLER, DECODER, new StrictRequestDecoder(maxHeaderBytes));
    pipeline.addBefore(VERTX_HANDLER, ENCODER, new ResponseEncoder());
    socket.messageHandler(this::onMessage);
    socket.exceptionHandler(failure -> socket.close());
    socket.closeHandler(ignored -> onDisconnected());
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
    return current != null || unwrittenResponses > 0 || hasNextRequest();
  }

  /** Tells whether another request was received, at least in part. */
  private boolean hasNextRequest() {
    return open
        && (paused
            || !queuedRequests.isEmpty()
            || partialRequest != null
            || headStartedMillis >= 0
            || refusalStatus.isPresent());
  }

  void close() {
    open = false;
    socket.close();
  }

  /** Ends the connection if the caller exceeds the header or idle timeout. */
  void enforceTimeouts(RequestLimits bounds, long nowMillis) {
    if (current != null || unwrittenResponses > 0 || !open) {
      return;
    }
    boolean headTimedOut =
        partialRequest == null
            && headStartedMillis >= 0
            && nowMillis - headStartedMillis > bounds.headerTimeoutMillis();
    boolean idle = idleTimeout.hasElapsed(bounds.idleTimeoutMillis(), lastByteMillis, nowMillis);
    if (headTimedOut || (idle && partialRequest != null)) {
      refuse(REQUEST_TIMEOUT, "the request was not received in time");
    } else if (idle) {
      close();
    }
  }

  private void onMessage(Object message) {
    try {
      if (refusalStatus.isPresent() || !open) {
        return;
      }
      if (message instanceof HttpMessage head && head.decoderResult().isFailure()) {
        onInvalid(head.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest head) {
        onHead(head);
      }
      if (message instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpRequest head) {
    headStartedMillis = -1;
    if (StrictRequestDecoder.isAmbiguous(head)) {
      refuse(BAD_REQUEST, "the framing or Host header of the request is ambiguous");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > server.bounds().maxBodyBytes()) {
      refuse(TOO_LARGE, "the request body exceeds the size limit");
      return;
    }
    partialRequest = head;
    partialKeepsAlive = HttpUtil.isKeepAlive(head);
    partialBody = Buffer.buffer();
    continueExpected = HttpUtil.is100ContinueExpected(head);
    handleNext();
  }

  private void sendContinue() {
    continueExpected = false;
    HttpResponse proceed =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    socket.writeMessage(proceed);
  }

  private void onContent(HttpContent content) {
    if (partialRequest == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      refuse(BAD_REQUEST, "the chunked request body is malformed");
      return;
    }
    ByteBuf bytes = content.content();
    if (partialBody.length() + bytes.readableBytes() > server.bounds().maxBodyBytes()) {
      refuse(TOO_LARGE, "the request body exceeds the size limit");
      return;
    }
    if (bytes.isReadable()) {
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      partialBody.appendBytes(copy);
    }
    if (content instanceof LastHttpContent) {
      queuedRequests.add(new QueuedRequest(partialRequest, partialKeepsAlive, partialBody));
      partialRequest = null;
      partialBody = null;
      continueExpected = false;
      handleNext();
      pauseIfQueueFull();
    }
  }

  private void onInvalid(Throwable cause) {
    boolean tooLarge =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    refuse(tooLarge ? HEADER_TOO_LARGE : BAD_REQUEST, "the request is not valid HTTP");
  }

  /**
   * Rejects an unreadable request after the requests before it were answered, and closes the
   * connection, since the end of the request is unknown.
   */
  private void refuse(int status, String reason) {
    refusalStatus = OptionalInt.of(status);
    partialRequest = null;
    headStartedMillis = -1;
    server.onRejected(status, reason);
    handleNext();
  }

  private void sendRefusal(int status) {
    HttpResponse response = newResponse(status, List.of());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    unwrittenResponses++;
    socket.writeMessage(response);
    socket
        .writeMessage(LastHttpContent.EMPTY_LAST_CONTENT)
        .onComplete(written -> onResponseWritten(written.succeeded()));
    closeAfterResponse();
  }

  private void pauseIfQueueFull() {
    if (!paused && queuedRequests.size() >= MAX_QUEUED_REQUESTS) {
      paused = true;
      socket.pause();
    }
  }

  private void resumeIfQueueEmpty() {
    if (paused && queuedRequests.isEmpty()) {
      paused = false;
      socket.resume();
    }
  }

  private void handleNext() {
    if (current != null || !open || decoding || !isConnected()) {
      return;
    }
    if (!queuedRequests.isEmpty()) {
      current = new Exchange(queuedRequests.poll());
      server.handle(current);
      resumeIfQueueEmpty();
    } else if (refusalStatus.isPresent()) {
      sendRefusal(refusalStatus.getAsInt());
    } else if (continueExpected) {
      sendContinue();
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
    Exchange interrupted = current;
    current = null;
    if (interrupted != null) {
      interrupted.callerDisconnected();
    }
  }

  private void onResponseWritten(boolean isComplete) {
    unwrittenResponses--;
    restartTimeouts();
    if (!isComplete) {
      close();
    } else if (closesAfterResponse && unwrittenResponses == 0) {
      linger();
    }
  }

  private void closeAfterResponse() {
    open = false;
    closesAfterResponse = true;
    if (refusalStatus.isEmpty()) {
      stopReading();
    }
    if (unwrittenResponses == 0) {
      linger();
    }
  }

  /** Leaves a request that crosses the close unread, so that its caller may repeat it. */
  private void stopReading() {
    socket.channelHandlerContext().channel().config().setAutoRead(false);
  }

  /**
   * Ends the sending side and gives the caller time to read the response, since closing a socket
   * with unread bytes resets the connection and may destroy the end of the response. What follows
   * an unreadable request is discarded meanwhile.
   */
  private void linger() {
    if (socket.channelHandlerContext().channel() instanceof DuplexChannel channel) {
      channel.shutdownOutput();
    }
    server.schedule(LINGER_MILLIS, socket::close);
  }

  /** Lets the caller see that a response without length and chunks is not complete. */
  private void resetAtClose() {
    socket.channelHandlerContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
  }

  private void restartTimeouts() {
    lastByteMillis = server.nowMillis();
    if (headStartedMillis >= 0) {
      headStartedMillis = lastByteMillis;
    }
  }

  private void onResponseEnd(boolean keepAlive) {
    current = null;
    restartTimeouts();
    if (!keepAlive) {
      closeAfterResponse();
      return;
    }
    handleNext();
  }

  private static HttpResponse newResponse(int status, List<HeaderField> headers) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    HttpHeaderMapper.addAll(head.headers(), headers);
    return head;
  }

  /** Records when bytes arrive, before they are decoded. */
  private final class ArrivalMonitor extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lastByteMillis = server.nowMillis();
      boolean startsRequest =
          partialRequest == null
              && headStartedMillis < 0
              && refusalStatus.isEmpty()
              && open
              && !isEmptyLines((ByteBuf) message);
      if (startsRequest) {
        headStartedMillis = lastByteMillis;
      }
      // A response may announce the close only if no request was read behind its own.
      decoding = true;
      try {
        context.fireChannelRead(message);
      } finally {
        decoding = false;
      }
      // Runs after all bytes are read that have arrived, and a close of the caller with them.
      context.executor().execute(CallerConnection.this::handleNext);
    }

    /** Tells whether the bytes are empty lines, which the decoder skips before a request. */
    private static boolean isEmptyLines(ByteBuf bytes) {
      return bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0;
    }
  }

  /** Encodes responses; those to HEAD requests have a length and no body. */
  private final class ResponseEncoder extends HttpResponseEncoder {
    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
      return super.isContentAlwaysEmpty(response) || (current != null && current.isHeadOnly());
    }
  }

  private final class Exchange implements CallerExchange {
    private final QueuedRequest request;
    private final RequestHead head;
    private boolean responseStarted;
    private boolean closesConnection;
    private boolean endsAtClose;
    private boolean ended;
    private Runnable onDisconnect = () -> {};

    Exchange(QueuedRequest request) {
      this.request = request;
      this.head =
          new RequestHead(
              request.head().method().name(),
              request.head().uri(),
              HttpHeaderMapper.endToEnd(request.head().headers()));
    }

    boolean isHeadOnly() {
      return "HEAD".equals(head.method());
    }

    void callerDisconnected() {
      if (!ended) {
        ended = true;
        onDisconnect.run();
      }
    }

    @Override
    public RequestHead head() {
      return head;
    }

    @Override
    public Buffer body() {
      return request.body();
    }

    @Override
    public void respond(int status, List<HeaderField> headers, Buffer body) {
      if (ended) {
        return;
      }
      HttpResponse response = newFramedResponse(status, headers);
      if (hasBody(status)) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
      }
      responseStarted = true;
      socket.writeMessage(response);
      if (body.length() > 0 && hasBody(status) && !isHeadOnly()) {
        socket.writeMessage(content(body));
      }
      end();
    }

    @Override
    public void startResponse(int status, List<HeaderField> headers) {
      if (ended || responseStarted) {
        return;
      }
      responseStarted = true;
      HttpResponse response = newFramedResponse(status, headers);
      endsAtClose = !request.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
      if (!endsAtClose) {
        HttpUtil.setTransferEncodingChunked(response, true);
      }
      socket.writeMessage(response);
    }

    @Override
    public void write(Buffer bytes) {
      if (!ended) {
        socket.writeMessage(content(bytes));
      }
    }

    @Override
    public void end() {
      if (ended) {
        return;
      }
      ended = true;
      unwrittenResponses++;
      socket
          .writeMessage(LastHttpContent.EMPTY_LAST_CONTENT)
          .onComplete(written -> onResponseWritten(written.succeeded()));
      onResponseEnd(!closesConnection);
    }

    @Override
    public void abort() {
      if (!ended) {
        ended = true;
        if (responseStarted && endsAtClose) {
          resetAtClose();
        }
        close();
      }
    }

    @Override
    public boolean isResponseStarted() {
      return responseStarted;
    }

    @Override
    public boolean isWriteQueueFull() {
      return socket.writeQueueFull();
    }

    @Override
    public void onWriteQueueDrained(Runnable resume) {
      socket.drainHandler(ignored -> resume.run());
    }

    @Override
    public void onCallerDisconnected(Runnable handler) {
      onDisconnect = handler;
    }

    private HttpResponse newFramedResponse(int status, List<HeaderField> headers) {
      HttpResponse response = newResponse(status, headers);
      boolean isReusable =
          request.keepAlive() && request.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
      closesConnection = !isReusable || (server.isClosing() && !hasNextRequest());
      if (closesConnection) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      return response;
    }

    private boolean hasBody(int status) {
      return status != HttpResponseStatus.NO_CONTENT.code()
          && status != HttpResponseStatus.NOT_MODIFIED.code();
    }

    private DefaultHttpContent content(Buffer bytes) {
      return new DefaultHttpContent(((BufferInternal) bytes).getByteBuf());
    }
  }
}
