package org.knapweedcleat.router.forward.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.RequestHead;
import org.knapweedcleat.router.forward.codec.ResponseHead;
import org.knapweedcleat.router.http.ResponseRecipient;
import org.knapweedcleat.router.http.StrictHttpClientCodec;

/** A connection to an endpoint, which carries one request at a time. */
final class EndpointConnection {

  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int CONTINUE = 100;
  private static final int SUCCESS = 200;

  /** Margin before the endpoint's own idle timeout, so that its close does not cross a request. */
  private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

  /** Idle timeout of a connection whose endpoint does not announce one. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** Bounds the memory for the ids of the requests that a connection carried. */
  private static final int MAX_REQUESTS = 1_000;

  private final NetSocketInternal socket;
  private final EndpointConnectionLog log;
  private final Runnable onClosed;
  private final Set<String> carriedIds = new HashSet<>();
  private ResponseListener listener;
  private int carriedRequests;
  private ResponseMatcher matcher;
  private Runnable onReusable;
  private boolean headOnly;
  private boolean requestWritten;
  private boolean inResponse;
  private boolean closesAfterResponse;
  private boolean notReusable;
  private boolean endsAtClose;
  private boolean socketFailed;
  private boolean paused;
  private boolean disconnected;
  private boolean open = true;
  private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;

  private EndpointConnection(
      NetSocketInternal socket, EndpointConnectionLog log, Runnable onClosed) {
    this.socket = socket;
    this.log = log;
    this.onClosed = onClosed;
  }

  /**
   * Creates a connection on an open socket.
   *
   * @param socket the socket
   * @param log records what is no response to the connection's request
   * @param onClosed runs when the connection has been closed by either side
   */
  static EndpointConnection of(
      NetSocketInternal socket, EndpointConnectionLog log, Runnable onClosed) {
    EndpointConnection connection = new EndpointConnection(socket, log, onClosed);
    ChannelPipeline pipeline = socket.channelHandlerContext().pipeline();
    pipeline.addBefore(
        "handler",
        "codec",
        StrictHttpClientCodec.create(MAX_HEADER_BYTES, connection.new Recipient()));
    socket.messageHandler(connection::onMessage);
    socket.exceptionHandler(connection::onException);
    socket.closeHandler(ignored -> connection.onDisconnected());
    return connection;
  }

  boolean isOpen() {
    return open;
  }

  /** Returns how long the connection may stay idle. */
  long idleTimeoutMillis() {
    return idleTimeoutMillis;
  }

  /**
   * Tells whether the connection may carry a request. It carries no request id twice, since a copy
   * of the first response could not be told from the second response.
   *
   * @param request the matcher of the request's response
   */
  boolean canCarry(ResponseMatcher request) {
    return request.requestId().stream().noneMatch(carriedIds::contains);
  }

  /**
   * Sends a request.
   *
   * @param head the request's head without hop-by-hop headers
   * @param body the request's body
   * @param matcher tells whether a response belongs to this request
   * @param responseListener receives the response
   * @param onReusable runs when the connection can carry another request
   */
  void send(
      RequestHead head,
      Buffer body,
      ResponseMatcher matcher,
      ResponseListener responseListener,
      Runnable onReusable) {
    this.listener = responseListener;
    this.matcher = matcher;
    matcher.requestId().ifPresent(carriedIds::add);
    carriedRequests++;
    this.onReusable = onReusable;
    this.headOnly = "HEAD".equals(head.method());
    this.requestWritten = false;
    this.inResponse = false;
    this.closesAfterResponse = false;
    this.endsAtClose = false;
    DefaultHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(head.method()),
            head.target(),
            ((BufferInternal) body).getByteBuf());
    for (HeaderField header : head.headers()) {
      request.headers().add(header.name(), header.value());
    }
    if (body.length() > 0 || carriesBody(head.method())) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    }
    socket
        .writeMessage(request)
        .onSuccess(done -> requestWritten = true)
        .onFailure(this::onException);
  }

  /** Pauses reading while the caller does not keep up. */
  void pause() {
    paused = true;
    socket.pause();
  }

  /** Resumes reading; delivers what arrived in the meantime, and then the end of the connection. */
  void resume() {
    paused = false;
    socket.resume();
    if (disconnected && !paused) {
      failPending();
    }
  }

  /** Aborts the request by closing the connection; releases what arrived while paused. */
  void abort() {
    listener = null;
    close();
    resume();
  }

  void close() {
    open = false;
    socket.close();
  }

  private static boolean carriesBody(String method) {
    return "POST".equals(method) || "PUT".equals(method) || "PATCH".equals(method);
  }

  private static ResponseHead toHead(HttpResponse message) {
    return new ResponseHead(
        message.status().code(),
        HttpHeaderMapper.endToEnd(message.headers()),
        HttpUtil.isTransferEncodingChunked(message));
  }

  private void onMessage(Object message) {
    try {
      if (listener == null) {
        close();
        return;
      }
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        onUnreadable(part);
        return;
      }
      if (message instanceof HttpResponse head) {
        onHead(head);
      }
      if (message instanceof HttpContent content && listener != null && inResponse) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpResponse message) {
    int status = message.status().code();
    inResponse = status >= SUCCESS;
    if (!inResponse) {
      notReusable = notReusable || status != CONTINUE;
      return;
    }
    closesAfterResponse = !HttpUtil.isKeepAlive(message);
    endsAtClose = !headOnly && hasNoLength(message);
    readKeepAlive(message);
    ResponseHead head = toHead(message);
    notReusable = notReusable || !matcher.isNamedBy(head);
    listener.onHead(head);
  }

  private void onContent(HttpContent content) {
    if (content.content().isReadable()) {
      byte[] copy = new byte[content.content().readableBytes()];
      content.content().readBytes(copy);
      listener.onBody(Buffer.buffer(copy));
    }
    if (content instanceof LastHttpContent && listener != null) {
      inResponse = false;
      if (endsAtClose && socketFailed) {
        fail(TransportFailure.CONNECTION_LOST);
      } else {
        complete();
      }
    }
  }

  private void complete() {
    ResponseListener completed = listener;
    listener = null;
    boolean isExhausted = carriedRequests >= MAX_REQUESTS;
    if (closesAfterResponse
        || isExhausted
        || notReusable
        || !requestWritten
        || endsAtClose
        || !open) {
      close();
      completed.onComplete();
    } else {
      Runnable reuse = onReusable;
      completed.onComplete();
      reuse.run();
    }
  }

  /** Tells a response that its connection cut off inside the head from bytes that are none. */
  private void onUnreadable(HttpObject part) {
    Throwable cause = part.decoderResult().cause();
    if (cause instanceof PrematureChannelClosureException) {
      fail(TransportFailure.CONNECTION_LOST);
    } else {
      log.unreadable(matcher.requestId(), String.valueOf(cause.getMessage()), carriedRequests);
      fail(TransportFailure.NOT_HTTP);
    }
  }

  private void fail(TransportFailure cause) {
    ResponseListener pending = listener;
    listener = null;
    close();
    if (pending != null) {
      pending.onFailure(cause);
    }
  }

  /**
   * Records that the connection was reset, which the write of a request may be the only one to see.
   * Failures of another type do not concern what was received: a write fails when the endpoint
   * closes the connection in order, and Vert.x reports one if it stops reading on a connection that
   * is closed already.
   */
  private void onException(Throwable failure) {
    boolean isReset =
        failure instanceof IOException && !(failure instanceof ClosedChannelException);
    socketFailed = socketFailed || isReset;
  }

  /** Handles the end of the connection, which Vert.x reports before messages that it queues. */
  private void onDisconnected() {
    open = false;
    disconnected = true;
    if (!paused) {
      failPending();
    }
    onClosed.run();
  }

  private void failPending() {
    ResponseListener pending = listener;
    listener = null;
    if (pending != null) {
      pending.onFailure(TransportFailure.CONNECTION_LOST);
    }
  }

  private void readKeepAlive(HttpResponse message) {
    String value = message.headers().get("Keep-Alive", "");
    for (String part : value.split(",")) {
      String[] pair = part.trim().split("=");
      if (pair.length == 2 && "timeout".equalsIgnoreCase(pair[0]) && pair[1].matches("\\d{1,6}")) {
        long announcedMillis = Long.parseLong(pair[1]) * MILLIS_PER_SECOND;
        idleTimeoutMillis = Math.max(0, announcedMillis - IDLE_TIMEOUT_MARGIN_MILLIS);
      }
    }
  }

  private static boolean hasNoLength(HttpMessage message) {
    return !HttpUtil.isTransferEncodingChunked(message) && !HttpUtil.isContentLengthSet(message);
  }

  private final class Recipient implements ResponseRecipient {
    @Override
    public boolean isAwaited(HttpResponse message) {
      ResponseHead head = toHead(message);
      boolean awaited = matcher.matches(head, carriedRequests == 1);
      if (!awaited) {
        notReusable = true;
        log.skipped(matcher.requestId(), matcher.responseId(head), head.status(), carriedRequests);
      }
      return awaited;
    }

    @Override
    public boolean revealsResponse(String line) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        return false;
      }
      HeaderField header =
          new HeaderField(line.substring(0, colon), line.substring(colon + 1).trim());
      return matcher
          .responseId(new ResponseHead(SUCCESS, List.of(header)))
          .filter(carriedIds::contains)
          .isPresent();
    }

    @Override
    public void onUnsolicitedBytes(int count) {
      notReusable = true;
      if (open) {
        log.unsolicited(count, carriedRequests);
      }
      if (listener == null) {
        close();
      }
    }
  }
}
