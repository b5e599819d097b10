package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Decodes requests and rejects those whose end two readers could place differently, in which a
 * second request could hide.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final String CHUNKED = "chunked";

  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setStrictLineParsing(true)
            .setAllowDuplicateContentLengths(false));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both a length and chunks");
  }

  /** Tells whether the request's framing headers leave room for doubt. */
  static boolean isAmbiguous(HttpMessage message) {
    List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean lengths = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    boolean unknownEncoding =
        encodings.size() > 1
            || (encodings.size() == 1 && !CHUNKED.equalsIgnoreCase(encodings.get(0).trim()));
    boolean oldChunks =
        !encodings.isEmpty() && !message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    boolean hosts = message.headers().getAll(HttpHeaderNames.HOST).size() != 1;
    return lengths || unknownEncoding || oldChunks || hosts;
  }
}
