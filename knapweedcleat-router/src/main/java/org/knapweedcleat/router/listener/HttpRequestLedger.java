package org.knapweedcleat.router.listener;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedcleat.core.listener.ConnectionUsage;

/**
 * Estimates the heap that the requests of one connection occupy: what the HTTP decoder keeps of an
 * incomplete head, chunk line or trailer; bodies; and complete requests until their response ends.
 */
final class HttpRequestLedger {

  /** The heap cost of a decoded header line beyond its bytes: an entry, two strings, two arrays. */
  private static final int HEADER_LINE_BYTES = 200;

  /** Buffers double as they grow, and the old and the new one exist while they are copied. */
  private static final int BUFFER_FACTOR = 2;

  /**
   * More requests than ordinary clients send ahead. The memory of complete requests cannot be
   * released by closing a stalled one, so their number is limited.
   */
  private static final int MAX_PIPELINED = 64;

  /** The least cost of a request in progress. */
  private static final int REQUEST_BYTES = 2_048;

  /** The decoder limits trailers to this many bytes, of at least four a line. */
  private static final int MAX_UNSEEN_LINES = 4_096;

  private final int maxHeaderLines;
  private final long maxDiscardBytes;
  private final Deque<Long> completeBytes = new ArrayDeque<>();
  private long undecodedBytes;
  private int undecodedLines;
  private long readBytes;
  private int readLines;
  private boolean decodedInRead;
  private boolean inBody;
  private boolean discarding;
  private boolean responding;
  private long currentBytes;
  private long discardedBytes;
  private int headerLines;
  private long completeSum;

  HttpRequestLedger(int maxHeaderLines, long maxDiscardBytes) {
    this.maxHeaderLines = maxHeaderLines;
    this.maxDiscardBytes = maxDiscardBytes;
  }

  void beginRead(ByteBuf bytes) {
    readBytes = bytes.readableBytes();
    readLines = 0;
    decodedInRead = false;
    int end = bytes.writerIndex();
    int newline = bytes.indexOf(bytes.readerIndex(), end, (byte) '\n');
    while (newline >= 0) {
      readLines++;
      newline = bytes.indexOf(newline + 1, end, (byte) '\n');
    }
  }

  /** Adds what the decoder did not pass on; it may keep the last lines of a read that it did. */
  void endRead() {
    if (!decodedInRead) {
      undecodedBytes += readBytes;
      undecodedLines += readLines;
      headerLines = Math.max(headerLines, undecodedLines - 1);
    } else {
      undecodedBytes = 0;
      undecodedLines = inBody ? Math.min(readLines, MAX_UNSEEN_LINES) : 0;
    }
  }

  boolean exceedsHeaderLines(int lines) {
    return lines > maxHeaderLines;
  }

  void onHead(int lines) {
    decodedInRead = true;
    inBody = true;
    discarding = false;
    discardedBytes = 0;
    headerLines = lines;
    currentBytes = REQUEST_BYTES + (long) lines * HEADER_LINE_BYTES;
  }

  void onContent(int bytes) {
    decodedInRead = true;
    if (discarding) {
      discardedBytes += bytes;
    } else {
      currentBytes += (long) bytes * BUFFER_FACTOR;
    }
  }

  void onRequestEnd() {
    inBody = false;
    headerLines = 0;
    if (!discarding) {
      completeBytes.addLast(currentBytes);
      completeSum += currentBytes;
    }
    discarding = false;
    currentBytes = 0;
  }

  void onResponseStart() {
    responding = true;
  }

  void onResponseEnd() {
    responding = false;
    Long released = completeBytes.pollFirst();
    if (released != null) {
      completeSum -= released;
    } else if (inBody) {
      discarding = true;
      discardedBytes = 0;
      currentBytes = 0;
    }
  }

  boolean exceedsDiscardLimit() {
    return discardedBytes > maxDiscardBytes;
  }

  boolean exceedsPipeline() {
    return completeBytes.size() > MAX_PIPELINED;
  }

  /**
   * Tells whether a refusal can be sent: part of a request has come, and none is being answered.
   */
  boolean mayRefuse() {
    return completeBytes.isEmpty() && !responding && !discarding;
  }

  ConnectionUsage usage(long pendingBytes, long movedBytes) {
    long undecoded = undecodedBytes * BUFFER_FACTOR + (long) undecodedLines * HEADER_LINE_BYTES;
    boolean incomplete = inBody || undecodedBytes > 0;
    boolean waits = incomplete && completeBytes.isEmpty() || pendingBytes > 0;
    return new ConnectionUsage(
        undecoded + currentBytes + completeSum + pendingBytes,
        movedBytes,
        waits,
        !inBody && pendingBytes == 0,
        headerLines);
  }
}
