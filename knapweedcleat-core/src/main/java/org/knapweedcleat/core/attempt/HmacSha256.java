package org.knapweedcleat.core.attempt;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes the codes that show that a text was made by somebody who has a secret. */
public final class HmacSha256 {

  /** The length of a code. */
  public static final int LENGTH_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";

  private HmacSha256() {}

  /**
   * Returns the code of a text.
   *
   * @param secret the secret, not empty
   * @param text the text
   * @return the code, {@link #LENGTH_BYTES} long
   */
  public static byte[] compute(byte[] secret, String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
