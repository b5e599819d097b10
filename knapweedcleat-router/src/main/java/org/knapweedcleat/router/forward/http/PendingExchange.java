package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.List;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.RequestHead;

/** The request that a connection handles, and the response to it. */
final class PendingExchange implements CallerExchange {

  /** Tells progress of a caller that reads a long response slowly. */
  private static final int WRITE_BYTES = 65_536;

  private final CallerConnection connection;
  private final QueuedRequest request;
  private final RequestHead head;
  private long responseBytes;
  private boolean responseStarted;
  private boolean closesConnection;
  private boolean endsAtClose;
  private boolean ended;
  private Runnable onDisconnect = () -> {};

  PendingExchange(CallerConnection connection, QueuedRequest request) {
    this.connection = connection;
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

  long heapBytes() {
    return request.heapBytes() + responseBytes;
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
  public boolean holdResponse(long heapBytes) {
    responseBytes = heapBytes;
    return ended || connection.mayHoldResponse(heapBytes);
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
    responseBytes = 0;
    connection.output().write(response, 0);
    if (hasBody(status) && !isHeadOnly()) {
      for (int start = 0; start < body.length(); start += WRITE_BYTES) {
        writeContent(body.slice(start, Math.min(body.length(), start + WRITE_BYTES)));
      }
    }
    end();
  }

  @Override
  public void startResponse(int status, List<HeaderField> headers) {
    if (ended || responseStarted) {
      return;
    }
    responseStarted = true;
    responseBytes = 0;
    HttpResponse response = newFramedResponse(status, headers);
    endsAtClose = !request.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
    if (!endsAtClose) {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    connection.output().write(response, 0);
  }

  @Override
  public void write(Buffer bytes) {
    if (!ended) {
      writeContent(bytes);
    }
  }

  private void writeContent(Buffer bytes) {
    connection
        .output()
        .write(new DefaultHttpContent(((BufferInternal) bytes).getByteBuf()), bytes.length());
  }

  @Override
  public void end() {
    if (!ended) {
      ended = true;
      connection.endResponse(!closesConnection);
    }
  }

  @Override
  public void abort() {
    if (!ended) {
      ended = true;
      if (responseStarted && endsAtClose) {
        connection.output().resetAtClose();
      }
      connection.close();
    }
  }

  @Override
  public boolean isResponseStarted() {
    return responseStarted;
  }

  @Override
  public boolean isWriteQueueFull() {
    return connection.output().isWriteQueueFull();
  }

  @Override
  public void onWriteQueueDrained(Runnable resume) {
    connection.output().onWriteQueueDrained(resume);
  }

  @Override
  public void onCallerDisconnected(Runnable handler) {
    onDisconnect = handler;
  }

  private HttpResponse newFramedResponse(int status, List<HeaderField> headers) {
    HttpResponse response = CallerOutput.newResponse(status, headers);
    boolean isReusable =
        request.keepAlive() && request.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
    closesConnection = !isReusable || connection.announcesClose();
    if (closesConnection) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  private static boolean hasBody(int status) {
    return status != HttpResponseStatus.NO_CONTENT.code()
        && status != HttpResponseStatus.NOT_MODIFIED.code();
  }
}
