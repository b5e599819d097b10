package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Decodes requests and rejects those whose framing two parsers could interpret differently, which
 * would allow request smuggling.
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
    throw new IllegalArgumentException("both Content-Length and chunked transfer encoding");
  }

  /** Tells whether the request's framing or Host headers are ambiguous. */
  static boolean isAmbiguous(HttpMessage message) {
    List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean repeatedLength = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    boolean unknownEncoding =
        encodings.size() > 1
            || (encodings.size() == 1 && !CHUNKED.equalsIgnoreCase(encodings.get(0).trim()));
    boolean chunkedBeforeHttp11 =
        !encodings.isEmpty() && !message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    boolean notOneHost = message.headers().getAll(HttpHeaderNames.HOST).size() != 1;
    return repeatedLength || unknownEncoding || chunkedBeforeHttp11 || notOneHost;
  }
}
