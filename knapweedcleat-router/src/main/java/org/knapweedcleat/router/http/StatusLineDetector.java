package org.knapweedcleat.router.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Finds the start of an HTTP status line, version and status, in bytes that arrive in parts. A
 * status line where none may be shows that a response was broken off and another one followed.
 */
public final class StatusLineDetector {

  /** A digit stands for any digit. */
  private static final byte[] PATTERN = "HTTP/1.0 000".getBytes(StandardCharsets.US_ASCII);

  private int matched;
  private boolean found;

  /** Creates a detector that has seen no bytes. */
  public StatusLineDetector() {}

  /**
   * Tells whether a text has the start of a status line.
   *
   * @param text the text
   * @return true if a status line starts anywhere in the text
   */
  public static boolean occursIn(CharSequence text) {
    StatusLineDetector detector = new StatusLineDetector();
    for (int i = 0; i < text.length() && !detector.found; i++) {
      detector.accept((byte) text.charAt(i));
    }
    return detector.found;
  }

  /**
   * Searches the next part of the bytes, whose reader index stays unchanged.
   *
   * @param part the part
   * @return the index behind the first status line that ends in the part, or -1
   */
  public int indexAfter(ByteBuf part) {
    found = false;
    int last =
        part.forEachByte(
            next -> {
              accept(next);
              return !found;
            });
    return last < 0 ? -1 : last + 1;
  }

  /**
   * Returns how many bytes a status line that has begun still lacks.
   *
   * @return the number of bytes, or 0 if none has begun
   */
  public int missingBytes() {
    return matched == 0 ? 0 : PATTERN.length - matched;
  }

  private void accept(byte next) {
    if (!matches(PATTERN[matched], next)) {
      // Only the first byte of the pattern starts it.
      matched = 0;
    }
    if (matches(PATTERN[matched], next)) {
      matched++;
    }
    if (matched == PATTERN.length) {
      found = true;
      matched = 0;
    }
  }

  private static boolean matches(byte expected, byte next) {
    return Character.isDigit(expected) ? Character.isDigit(next) : expected == next;
  }
}
