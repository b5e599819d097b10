package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.util.List;
import org.knapweedcleat.core.intake.HeapCost;
import org.knapweedcleat.core.intake.SyntaxLimits;

/**
 * Decodes requests and rejects those whose framing two parsers could interpret differently, which
 * would allow request smuggling, and those that exceed limits on their form. It also tells how much
 * memory the request that it decodes occupies.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final String CHUNKED = "chunked";

  /**
   * Each folded line copies the value that it continues. The form is obsolete, so that no limit for
   * it is published.
   */
  private static final int MAX_FOLDED_LINES = 64;

  private static final int LINE_END_BYTES = 2;

  /** An idle connection does not keep a line buffer beyond this length. */
  private static final int MAX_IDLE_LINE_BUFFER_BYTES = 2_048;

  private final SyntaxLimits limits;
  private boolean readsHead;
  private boolean readsBody;
  private int lines;
  private int foldedLines;
  private int headBytes;
  private long chunks;
  private long overheadBytes;
  private int lineBufferBytes;
  private long examinedBytes;
  private boolean rejected;

  StrictRequestDecoder(SyntaxLimits limits) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setStrictLineParsing(true)
            .setAllowDuplicateContentLengths(false));
    this.limits = limits;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked transfer encoding");
  }

  /** Tells whether a decoder for other limits, or with a smaller buffer, is to replace this one. */
  boolean isOutdated(SyntaxLimits current) {
    return isIdle() && (!current.equals(limits) || lineBufferBytes > MAX_IDLE_LINE_BUFFER_BYTES);
  }

  /** Tells whether nothing of the next request has been received. */
  boolean isIdle() {
    return !readsHead && !readsBody && actualReadableBytes() == 0;
  }

  /** Returns the estimated heap that the request being decoded occupies, without its body. */
  long heapBytes() {
    long bufferBytes = (long) lineBufferBytes + internalBuffer().capacity();
    return isIdle() ? 0 : HeapCost.ofPartialHead(lines, headBytes + bufferBytes);
  }

  /** Returns the length of the head that was decoded last. */
  int headBytes() {
    return headBytes;
  }

  /** Returns how many bytes were examined for folded lines, and copied for them at most. */
  long examinedBytes() {
    return examinedBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (rejected) {
      in.skipBytes(in.readableBytes());
      return;
    }
    final boolean wasInBody = readsBody;
    final int start = in.readerIndex();
    final int outStart = out.size();
    if (!readsHead && !readsBody) {
      headBytes = 0;
    }
    super.decode(context, in, out);
    int consumedBytes = in.readerIndex() - start;
    int contentBytes = 0;
    for (int i = outStart; i < out.size(); i++) {
      contentBytes += record(out.get(i));
    }
    if (wasInBody) {
      recordFraming(consumedBytes - contentBytes, contentBytes);
    } else {
      headBytes += consumedBytes;
    }
    if (contentBytes == 0) {
      foldedLines += countFoldedLines(in, start, consumedBytes);
    }
    rejectIfOverLimit(wasInBody, out, outStart);
    if (isIdle()) {
      foldedLines = 0;
      chunks = 0;
      overheadBytes = 0;
    }
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    readsHead = true;
    lines = 0;
    return super.createMessage(initialLine);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] buffer, int start, int length) {
    lineBufferBytes = Math.max(lineBufferBytes, buffer.length);
    lines++;
    if (lines > (readsHead ? limits.maxHeaderLines() : limits.maxTrailerLines())) {
      throw new TooLongHttpHeaderException("too many header lines");
    }
    return super.splitHeaderName(buffer, start, length);
  }

  /** Follows the decoder's progress by its output; returns the length of the content. */
  private int record(Object message) {
    if (message instanceof HttpMessage) {
      readsHead = false;
      readsBody = true;
      lines = 0;
      foldedLines = 0;
      chunks = 0;
      overheadBytes = 0;
    }
    if (message instanceof LastHttpContent) {
      readsBody = false;
      lines = 0;
    }
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private void recordFraming(int framingBytes, int contentBytes) {
    overheadBytes += framingBytes;
    boolean startsChunk = contentBytes > 0 && framingBytes > LINE_END_BYTES;
    chunks += startsChunk ? 1 : 0;
  }

  /** Counts lines of a head or trailer that begin with white space. */
  private int countFoldedLines(ByteBuf in, int start, int length) {
    examinedBytes += length;
    int count = 0;
    for (int i = start; i < start + length; i++) {
      boolean startsLine = i == start || in.getByte(i - 1) == '\n';
      byte next = in.getByte(i);
      count += startsLine && (next == ' ' || next == '\t') ? 1 : 0;
    }
    return count;
  }

  private void rejectIfOverLimit(boolean wasInBody, List<Object> out, int outStart)
      throws Exception {
    TooLongFrameException cause = null;
    if (foldedLines > MAX_FOLDED_LINES) {
      cause = new TooLongHttpHeaderException("too many folded header lines");
    } else if (chunks > limits.maxChunks() || overheadBytes > limits.maxChunkOverheadBytes()) {
      cause = new TooLongHttpContentException("too many chunks, or too long extensions");
    }
    if (cause != null) {
      rejected = true;
      HttpObject rejection =
          wasInBody ? new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER) : createInvalidMessage();
      rejection.setDecoderResult(DecoderResult.failure(cause));
      if (outStart == out.size()) {
        out.add(rejection);
      } else {
        out.add(outStart, rejection);
      }
    }
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
