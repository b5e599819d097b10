package org.knapweedcleat.core.account;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of a key; only digests are published, never keys.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hex) {

  private static final Pattern FORM = Pattern.compile("[0-9a-f]{64}");

  /** Checks the form. */
  public KeyDigest {
    if (!FORM.matcher(hex).matches()) {
      throw new IllegalArgumentException("a digest is 64 hexadecimal digits");
    }
  }

  /**
   * Returns the digest with the given digits.
   *
   * @param hex 64 hexadecimal digits, in any case
   * @return the digest
   * @throws IllegalArgumentException if the digits have another form
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
