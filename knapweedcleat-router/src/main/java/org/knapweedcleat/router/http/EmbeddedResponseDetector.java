package org.knapweedcleat.router.http;

import io.netty.buffer.ByteBuf;
import java.util.function.Predicate;

/**
 * Finds the head of another response behind the head of a response: its server broke the body off,
 * and what follows fills it up. A status line opens a head, which stays open while lines of headers
 * follow; text that only mentions a status line closes it with its next line.
 */
final class EmbeddedResponseDetector {

  private static final int MAX_LINE_BYTES = 8_192;

  private final StatusLineDetector statusLine = new StatusLineDetector();
  private final Predicate<String> revealsResponse;
  private final boolean anyHead;
  private final StringBuilder line = new StringBuilder();
  private boolean open;
  private boolean inStatusLine;

  private EmbeddedResponseDetector(Predicate<String> revealsResponse, boolean anyHead) {
    this.revealsResponse = revealsResponse;
    this.anyHead = anyHead;
  }

  /**
   * Creates the detector for a response that is passed on.
   *
   * @param revealsResponse tells of a line of a head that it shows another response
   */
  static EmbeddedResponseDetector forAccepted(Predicate<String> revealsResponse) {
    return new EmbeddedResponseDetector(revealsResponse, false);
  }

  /**
   * Creates the detector for a response that is dropped, in which any whole head counts.
   *
   * @param revealsResponse tells of a line of a head that it shows another response
   */
  static EmbeddedResponseDetector forDropped(Predicate<String> revealsResponse) {
    return new EmbeddedResponseDetector(revealsResponse, true);
  }

  /** Searches the next bytes of the response, whose reader index stays unchanged. */
  boolean findIn(ByteBuf part) {
    for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
      if (accept(part.getByte(i))) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether the response ends within a status line or within an open head. */
  boolean isOpen() {
    return open || statusLine.hasBegun();
  }

  /** Tells whether an open head or status line goes on in the bytes behind the response. */
  boolean continuesIn(ByteBuf following) {
    if (open) {
      return true;
    }
    for (int i = following.readerIndex(); i < following.writerIndex() && !open; i++) {
      accept(following.getByte(i));
      if (!isOpen()) {
        return false;
      }
    }
    return true;
  }

  private boolean accept(byte next) {
    if (statusLine.accept(next)) {
      open = true;
      inStatusLine = true;
      line.setLength(0);
      return false;
    }
    if (!open) {
      return false;
    }
    if (next != '\n') {
      line.append((char) (next & 0xff));
      open = line.length() <= MAX_LINE_BYTES;
      return false;
    }
    return endLine();
  }

  /** Handles a line of an open head; returns true if it shows another response. */
  private boolean endLine() {
    boolean isTerminated = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
    String text = isTerminated ? line.substring(0, line.length() - 1) : line.toString();
    line.setLength(0);
    boolean isEnd = !inStatusLine && text.isEmpty();
    open = isTerminated && !isEnd && (inStatusLine || isHeader(text));
    inStatusLine = false;
    return isTerminated && ((open && revealsResponse.test(text)) || (isEnd && anyHead));
  }

  private static boolean isHeader(String text) {
    int colon = text.indexOf(':');
    return colon > 0 && text.substring(0, colon).chars().noneMatch(Character::isWhitespace);
  }
}
