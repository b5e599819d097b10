package org.knapweedcleat.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
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
    byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
    return new KeyDigest(HexFormat.of().formatHex(sha256().digest(bytes)));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return hex;
  }
}
