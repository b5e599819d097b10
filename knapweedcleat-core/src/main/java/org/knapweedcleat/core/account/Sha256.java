package org.knapweedcleat.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of strings. */
public final class Sha256 {

  private Sha256() {}

  /**
   * Returns the digest of a text in UTF-8.
   *
   * @param text the text
   * @return 64 lower-case hexadecimal digits
   */
  public static String hexOf(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return HexFormat.of().formatHex(sha256().digest(bytes));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("required digest algorithm SHA-256 is not available", e);
    }
  }
}
