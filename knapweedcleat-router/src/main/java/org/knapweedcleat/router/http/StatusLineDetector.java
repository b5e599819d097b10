package org.knapweedcleat.router.http;

import java.nio.charset.StandardCharsets;

/**
 * Finds the start of an HTTP status line, version and status, in bytes that arrive in parts. A
 * status line where none may be shows that a response was broken off and another one followed.
 */
final class StatusLineDetector {

  /** A digit stands for any digit. */
  private static final byte[] PATTERN = "HTTP/1.0 000".getBytes(StandardCharsets.US_ASCII);

  private int matched;

  /**
   * Tells whether a text has the start of a status line.
   *
   * @param text the text
   * @return true if a status line starts anywhere in the text
   */
  static boolean occursIn(CharSequence text) {
    StatusLineDetector detector = new StatusLineDetector();
    for (int i = 0; i < text.length(); i++) {
      if (detector.accept((byte) text.charAt(i))) {
        return true;
      }
    }
    return false;
  }

  /**
   * Takes the next byte.
   *
   * @param next the byte
   * @return true if a status line ends with it
   */
  boolean accept(byte next) {
    if (!matches(PATTERN[matched], next)) {
      // Only the first byte of the pattern starts it.
      matched = 0;
    }
    if (matches(PATTERN[matched], next)) {
      matched++;
    }
    boolean found = matched == PATTERN.length;
    if (found) {
      matched = 0;
    }
    return found;
  }

  /** Tells whether the last bytes may begin a status line. */
  boolean hasBegun() {
    return matched > 0;
  }

  private static boolean matches(byte expected, byte next) {
    return Character.isDigit(expected) ? Character.isDigit(next) : expected == next;
  }
}
