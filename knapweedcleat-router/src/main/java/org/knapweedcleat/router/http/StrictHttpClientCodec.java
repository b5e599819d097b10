package org.knapweedcleat.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes requests and decodes their responses, one at a time on a connection, and keeps bytes that
 * belong to no response out of the next one.
 *
 * <p>A server may repeat an earlier response late and break the copy off anywhere. Bytes that
 * arrive while no response is due are discarded and reported instead of becoming the start of the
 * next response. A response to another request is dropped. A response with a second status line in
 * its head, or with the head of another response behind it, is two responses; it has a failure as
 * its decoder result.
 */
public final class StrictHttpClientCodec
    extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {

  private final ResponseRecipient recipient;
  private boolean awaitsResponse;
  private boolean headOnly;

  private StrictHttpClientCodec(int maxHeadBytes, ResponseRecipient recipient) {
    this.recipient = recipient;
    init(new ResponseDecoder(maxHeadBytes), new RequestEncoder());
  }

  /**
   * Returns the codec of a new connection.
   *
   * @param maxHeadBytes the maximum size of a status line and of the headers of a response
   * @param recipient receives the responses
   * @return the codec
   */
  public static StrictHttpClientCodec create(int maxHeadBytes, ResponseRecipient recipient) {
    return new StrictHttpClientCodec(maxHeadBytes, recipient);
  }

  private static boolean isJoined(HttpResponse response) {
    return StatusLineDetector.occursIn(response.status().reasonPhrase())
        || isJoined(response.headers());
  }

  private static boolean isJoined(HttpHeaders headers) {
    for (Map.Entry<String, String> header : headers) {
      if (StatusLineDetector.occursIn(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isKnownVersion(HttpVersion version) {
    return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
  }

  private final class RequestEncoder extends HttpRequestEncoder {
    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        awaitsResponse = true;
        headOnly = HttpMethod.HEAD.equals(request.method());
      }
      super.encode(context, message, out);
    }
  }

  private final class ResponseDecoder extends HttpResponseDecoder {

    private boolean interim;
    private boolean rejected;

    /** Searches what follows the head of a response that is dropped; empty otherwise. */
    private Optional<EmbeddedResponseDetector> droppedDetector = Optional.empty();

    /** Searches what follows the head of a response that is passed on; empty otherwise. */
    private Optional<EmbeddedResponseDetector> acceptedDetector = Optional.empty();

    private Optional<HttpObject> heldEnd = Optional.empty();

    ResponseDecoder(int maxHeadBytes) {
      super(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(maxHeadBytes)
              .setMaxHeaderSize(maxHeadBytes)
              .setAllowDuplicateContentLengths(false));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (awaitsResponse || !(message instanceof ByteBuf bytes)) {
        super.channelRead(context, message);
        return;
      }
      if (heldEnd.isPresent()) {
        heldEnd = Optional.of(endBefore(bytes, heldEnd.get()));
        fireHeldEnd(context);
      } else {
        discard(bytes);
      }
      bytes.release();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      fireHeldEnd(context);
      super.channelReadComplete(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      fireHeldEnd(context);
      super.channelInactive(context);
    }

    private void fireHeldEnd(ChannelHandlerContext context) {
      if (heldEnd.isPresent()) {
        HttpObject end = heldEnd.get();
        heldEnd = Optional.empty();
        acceptedDetector = Optional.empty();
        context.fireChannelRead(end);
      }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
        throws Exception {
      if (rejected) {
        in.skipBytes(in.readableBytes());
        return;
      }
      int next = out.size();
      int start = in.readerIndex();
      super.decode(context, in, out);
      if (holdsAnotherResponse(in.slice(start, in.readerIndex() - start))) {
        out.subList(next, out.size()).forEach(ReferenceCountUtil::release);
        out.subList(next, out.size()).clear();
        out.add(joined());
        return;
      }
      while (next < out.size()) {
        if (out.get(next) instanceof HttpObject part && !process(part)) {
          ReferenceCountUtil.release(out.remove(next));
        } else {
          next++;
        }
      }
      if (!awaitsResponse) {
        endResponse(in, out);
      }
    }

    /**
     * Ends a response. One that ends within what may be the head of another one is held back for
     * the bytes that have been received, but not read yet.
     */
    private void endResponse(ByteBuf in, List<Object> out) {
      boolean isOpen = acceptedDetector.isPresent() && acceptedDetector.get().isOpen();
      if (isOpen && !in.isReadable()) {
        heldEnd = Optional.of((HttpObject) out.remove(out.size() - 1));
        return;
      }
      if (in.isReadable()) {
        out.add(endBefore(in, (HttpObject) out.remove(out.size() - 1)));
      }
      acceptedDetector = Optional.empty();
    }

    /** Searches bytes behind the head of the current response. */
    private boolean holdsAnotherResponse(ByteBuf bytes) {
      return (droppedDetector.isPresent() && droppedDetector.get().findIn(bytes))
          || (acceptedDetector.isPresent() && acceptedDetector.get().findIn(bytes));
    }

    /** Returns the end of a response behind which more bytes were received. */
    private HttpObject endBefore(ByteBuf following, HttpObject end) {
      if (acceptedDetector.isPresent()
          && acceptedDetector.get().isOpen()
          && acceptedDetector.get().continuesIn(following)) {
        ReferenceCountUtil.release(end);
        return joined();
      }
      discard(following);
      return end;
    }

    private HttpObject joined() {
      HttpContent part = new DefaultHttpContent(Unpooled.EMPTY_BUFFER);
      reject(part, "a response begins within another one");
      return part;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return headOnly || super.isContentAlwaysEmpty(message);
    }

    private void discard(ByteBuf bytes) {
      int count = bytes.readableBytes();
      bytes.skipBytes(count);
      recipient.onUnsolicitedBytes(count);
    }

    /** Checks a part of a response; returns false if the part is to be dropped. */
    private boolean process(HttpObject part) {
      if (part.decoderResult().isFailure()) {
        return true;
      }
      if (part instanceof HttpResponse response) {
        begin(response);
      }
      boolean isPassedOn = droppedDetector.isEmpty() || part.decoderResult().isFailure();
      if (part instanceof LastHttpContent end) {
        end(end);
      }
      return isPassedOn;
    }

    private void begin(HttpResponse response) {
      acceptedDetector = Optional.empty();
      interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (!isKnownVersion(response.protocolVersion())) {
        reject(response, "the version is neither HTTP/1.0 nor HTTP/1.1");
      } else if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
        reject(response, "the status is not between 100 and 599");
      } else if (isJoined(response)) {
        reject(response, "the head holds a second status line");
      } else if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
        reject(response, "the protocol is switched without a request to do so");
      } else if (!interim && !recipient.isAwaited(response)) {
        droppedDetector =
            Optional.of(EmbeddedResponseDetector.forDropped(recipient::revealsResponse));
        if (endsAtClose(response)) {
          reject(response, "a response to another request ends only with the connection");
        }
      } else if (!interim) {
        acceptedDetector =
            Optional.of(EmbeddedResponseDetector.forAccepted(recipient::revealsResponse));
      }
    }

    private void end(LastHttpContent end) {
      awaitsResponse = interim || droppedDetector.isPresent();
      droppedDetector = Optional.empty();
      if (isJoined(end.trailingHeaders())) {
        reject(end, "a trailer holds a status line");
      }
    }

    private boolean endsAtClose(HttpResponse response) {
      return !isContentAlwaysEmpty(response)
          && !HttpUtil.isTransferEncodingChunked(response)
          && !HttpUtil.isContentLengthSet(response);
    }

    /** Marks a part as unreadable; where the next response starts is unknown from there on. */
    private void reject(HttpObject part, String reason) {
      rejected = true;
      part.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason)));
    }
  }
}
