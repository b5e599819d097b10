package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
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
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.knapweedcleat.core.directory.CallerBounds;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.RequestHead;

/** One connection of a caller; requests are handled one at a time in their order. */
final class CallerConnection {

  private static final String DECODER = "requests";
  private static final String ENCODER = "answers";
  private static final String VERTX_HANDLER = "handler";

  /** Requests that a caller may send ahead; more is no use to it. */
  private static final int MAX_WAITING = 16;

  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_LARGE = 413;
  private static final int HEADER_TOO_LARGE = 431;

  private final NetSocketInternal socket;
  private final CallerServer server;
  private final Deque<Request> waiting = new ArrayDeque<>();
  private HttpRequest reading;
  private boolean readingKeepsAlive;
  private Buffer readingBody;
  private Exchange current;
  private boolean broken;
  private boolean open = true;
  private long lastByteMillis;
  private long headBeganMillis = -1;

  private record Request(HttpRequest head, boolean keepAlive, Buffer body) {}

  private CallerConnection(NetSocketInternal socket, CallerServer server) {
    this.socket = socket;
    this.server = server;
    this.lastByteMillis = server.nowMillis();
  }

  static CallerConnection accept(NetSocketInternal socket, CallerServer server) {
    CallerConnection connection = new CallerConnection(socket, server);
    connection.install();
    return connection;
  }

  private void install() {
    ChannelPipeline pipeline = socket.channelHandlerContext().pipeline();
    pipeline.addBefore(VERTX_HANDLER, "arrivals", new Arrivals());
    int maxHeaderBytes = server.bounds().maxHeaderBytes();
    pipeline.addBefore(VERTX_HANDLER, DECODER, new StrictRequestDecoder(maxHeaderBytes));
    pipeline.addBefore(VERTX_HANDLER, ENCODER, new AnswerEncoder());
    socket.messageHandler(this::onMessage);
    socket.exceptionHandler(failure -> socket.close());
    socket.closeHandler(ignored -> onClosed());
  }

  /** Closes the connection if it is idle; else its next answer says that it closes. */
  void closeWhenIdle() {
    if (current == null && waiting.isEmpty() && reading == null && headBeganMillis < 0) {
      close();
    }
  }

  boolean isBusy() {
    return current != null || !waiting.isEmpty();
  }

  void close() {
    open = false;
    socket.close();
  }

  /** Ends a connection whose caller takes longer than it may. */
  void sweep(CallerBounds bounds, long nowMillis) {
    if (current != null || !open) {
      return;
    }
    boolean slowHead =
        reading == null
            && headBeganMillis >= 0
            && nowMillis - headBeganMillis > bounds.headerTimeoutMillis();
    boolean quiet = nowMillis - lastByteMillis > bounds.idleTimeoutMillis();
    if (slowHead || (quiet && reading != null)) {
      refuse(REQUEST_TIMEOUT, "the request was not sent in time");
    } else if (quiet) {
      close();
    }
  }

  private void onMessage(Object message) {
    try {
      if (broken || !open) {
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
    headBeganMillis = -1;
    if (StrictRequestDecoder.isAmbiguous(head)) {
      refuse(BAD_REQUEST, "the request's framing or host is ambiguous");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > server.bounds().maxBodyBytes()) {
      refuse(TOO_LARGE, "the body is longer than allowed");
      return;
    }
    reading = head;
    readingKeepsAlive = HttpUtil.isKeepAlive(head);
    readingBody = Buffer.buffer();
    if (HttpUtil.is100ContinueExpected(head)) {
      HttpResponse go =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
      socket.writeMessage(go);
    }
  }

  private void onContent(HttpContent content) {
    if (reading == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      refuse(BAD_REQUEST, "the body's chunks cannot be read");
      return;
    }
    ByteBuf bytes = content.content();
    if (readingBody.length() + bytes.readableBytes() > server.bounds().maxBodyBytes()) {
      refuse(TOO_LARGE, "the body is longer than allowed");
      return;
    }
    if (bytes.isReadable()) {
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      readingBody.appendBytes(copy);
    }
    if (content instanceof LastHttpContent) {
      if (waiting.size() >= MAX_WAITING) {
        close();
        return;
      }
      waiting.add(new Request(reading, readingKeepsAlive, readingBody));
      reading = null;
      readingBody = null;
      next();
    }
  }

  private void onInvalid(Throwable cause) {
    boolean large =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    refuse(large ? HEADER_TOO_LARGE : BAD_REQUEST, "the request is not valid HTTP");
  }

  /** Answers a request that cannot be read and closes, since its end is not known. */
  private void refuse(int status, String reason) {
    broken = true;
    reading = null;
    server.rejected(status, reason);
    if (current == null && open) {
      HttpResponse answer = answerHead(status, List.of());
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      socket.writeMessage(answer);
      socket.writeMessage(LastHttpContent.EMPTY_LAST_CONTENT).onComplete(done -> close());
    }
  }

  private void next() {
    if (current != null || waiting.isEmpty() || !open) {
      return;
    }
    current = new Exchange(waiting.poll());
    server.handle(current);
  }

  private void onClosed() {
    open = false;
    waiting.clear();
    server.closed(this);
    Exchange ended = current;
    current = null;
    if (ended != null) {
      ended.callerLeft();
    }
  }

  private void finished(boolean keepAlive) {
    current = null;
    lastByteMillis = server.nowMillis();
    if (!keepAlive || broken) {
      close();
      return;
    }
    next();
  }

  private static HttpResponse answerHead(int status, List<HeaderField> headers) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    Heads.addAll(head.headers(), headers);
    return head;
  }

  /** Notes when bytes arrive, before they are decoded. */
  private final class Arrivals extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lastByteMillis = server.nowMillis();
      if (reading == null && headBeganMillis < 0) {
        headBeganMillis = lastByteMillis;
      }
      context.fireChannelRead(message);
    }
  }

  /** Writes answers; those to HEAD requests have a length and no body. */
  private final class AnswerEncoder extends HttpResponseEncoder {
    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse answer) {
      return super.isContentAlwaysEmpty(answer) || (current != null && current.isHeadOnly());
    }
  }

  private final class Exchange implements CallerExchange {
    private final Request request;
    private final RequestHead head;
    private boolean begun;
    private boolean ended;
    private Runnable left = () -> {};

    Exchange(Request request) {
      this.request = request;
      this.head =
          new RequestHead(
              request.head().method().name(),
              request.head().uri(),
              Heads.endToEnd(request.head().headers()));
    }

    boolean isHeadOnly() {
      return "HEAD".equals(head.method());
    }

    void callerLeft() {
      if (!ended) {
        ended = true;
        left.run();
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
      HttpResponse answer = framed(status, headers);
      if (hasBody(status)) {
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
      }
      begun = true;
      socket.writeMessage(answer);
      if (body.length() > 0 && hasBody(status) && !isHeadOnly()) {
        socket.writeMessage(content(body));
      }
      end();
    }

    @Override
    public void begin(int status, List<HeaderField> headers) {
      if (ended || begun) {
        return;
      }
      begun = true;
      HttpResponse answer = framed(status, headers);
      if (request.head().protocolVersion().equals(HttpVersion.HTTP_1_1)) {
        HttpUtil.setTransferEncodingChunked(answer, true);
      } else {
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      socket.writeMessage(answer);
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
      boolean keepAlive =
          request.keepAlive()
              && !server.isClosing()
              && request.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
      socket
          .writeMessage(LastHttpContent.EMPTY_LAST_CONTENT)
          .onComplete(
              written -> {
                if (written.failed()) {
                  close();
                }
              });
      finished(keepAlive);
    }

    @Override
    public void abort() {
      if (!ended) {
        ended = true;
        close();
      }
    }

    @Override
    public boolean isBegun() {
      return begun;
    }

    @Override
    public boolean isBackedUp() {
      return socket.writeQueueFull();
    }

    @Override
    public void onDrained(Runnable resume) {
      socket.drainHandler(ignored -> resume.run());
    }

    @Override
    public void onLeft(Runnable handler) {
      left = handler;
    }

    private HttpResponse framed(int status, List<HeaderField> headers) {
      HttpResponse answer = answerHead(status, headers);
      if (!request.keepAlive() || server.isClosing()) {
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      return answer;
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
