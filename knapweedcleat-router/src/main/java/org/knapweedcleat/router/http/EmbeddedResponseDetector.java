package org.knapweedcleat.router.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

/**
 * Finds the head of another response within the body of a response: its server broke the body off,
 * and what follows fills it up. A body may mention a status line, but it does not name a request of
 * its connection behind that.
 */
final class EmbeddedResponseDetector {

  /** Request ids stand in the first headers of a response. */
  private static final int MAX_HEAD_BYTES = 4_096;

  private final StatusLineDetector statusLine = new StatusLineDetector();
  private final Predicate<String> namesRequest;
  private StringBuilder head;

  /**
   * Creates the detector for one response.
   *
   * @param namesRequest tells whether a head names a request that the connection has carried
   */
  EmbeddedResponseDetector(Predicate<String> namesRequest) {
    this.namesRequest = namesRequest;
  }

  /** Searches the next bytes of the response, whose reader index stays unchanged. */
  boolean findIn(ByteBuf part) {
    ByteBuf rest = part.slice();
    while (rest.isReadable()) {
      if (head == null) {
        int start = statusLine.indexAfter(rest);
        if (start < 0) {
          return false;
        }
        rest.readerIndex(start);
        head = new StringBuilder();
      }
      if (collect(rest)) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether a head that has begun within the response goes on in the bytes behind it. */
  boolean continuesIn(ByteBuf following) {
    ByteBuf rest = following.slice();
    if (head == null) {
      int missing = statusLine.missingBytes();
      if (missing == 0
          || missing > rest.readableBytes()
          || statusLine.indexAfter(rest.readSlice(missing)) < 0) {
        return false;
      }
      head = new StringBuilder();
    }
    return collect(rest);
  }

  private boolean collect(ByteBuf rest) {
    int count = Math.min(rest.readableBytes(), MAX_HEAD_BYTES - head.length());
    head.append(rest.readCharSequence(count, StandardCharsets.ISO_8859_1));
    boolean found = namesRequest.test(head.toString());
    if (head.length() == MAX_HEAD_BYTES) {
      head = null;
    }
    return found;
  }
}
