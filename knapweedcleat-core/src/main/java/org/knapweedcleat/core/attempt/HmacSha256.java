package org.knapweedcleat.core.attempt;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes HMAC-SHA256 message authentication codes. */
public final class HmacSha256 {

  /** The length of a code in bytes. */
  public static final int LENGTH_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";

  private HmacSha256() {}

  /**
   * Returns the authentication code of a text.
   *
   * @param secret the non-empty secret
   * @param text the text, authenticated in UTF-8
   * @return the code, {@link #LENGTH_BYTES} bytes long
   */
  public static byte[] compute(byte[] secret, String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("required MAC algorithm is not available: " + ALGORITHM, e);
    }
  }
}
