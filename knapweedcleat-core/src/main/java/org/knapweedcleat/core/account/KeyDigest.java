package org.knapweedcleat.core.account;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of an API key. Only digests are published, never keys.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hex) {

  private static final Pattern HEX_FORMAT = Pattern.compile("[0-9a-f]{64}");

  /** Checks the format. */
  public KeyDigest {
    if (!HEX_FORMAT.matcher(hex).matches()) {
      throw new IllegalArgumentException("a key digest must have 64 lower-case hexadecimal digits");
    }
  }

  /**
   * Returns the digest with the given hexadecimal digits.
   *
   * @param hex 64 hexadecimal digits, in any case
   * @return the digest
   * @throws IllegalArgumentException if the text is not 64 hexadecimal digits
   */
  public static KeyDigest of(String hex) {
    return new KeyDigest(hex.toLowerCase(Locale.ROOT));
  }

  /**
   * Returns the digest of a key.
   *
   * @param key the key as a caller presents it
   * @return its digest
   */
  public static KeyDigest ofKey(String key) {
    return new KeyDigest(Sha256.hexOf(key));
  }

  @Override
  public String toString() {
    return hex;
  }
}
