package org.knapweedcleat.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of texts. */
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
    return HexFormat.of().formatHex(algorithm().digest(bytes));
  }

  private static MessageDigest algorithm() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
