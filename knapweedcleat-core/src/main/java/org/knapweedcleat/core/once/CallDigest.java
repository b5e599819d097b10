package org.knapweedcleat.core.once;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a call, which distinguishes a retry from a different call.
 *
 * @param hex 64 hexadecimal digits
 */
public record CallDigest(String hex) {

  /**
   * Returns the digest of a call.
   *
   * @param method the HTTP method
   * @param uri the path with its query
   * @param body the body
   * @return the digest
   */
  public static CallDigest of(String method, String uri, byte[] body) {
    MessageDigest digest = sha256();
    digest.update((method + " " + uri + "\n").getBytes(StandardCharsets.UTF_8));
    return new CallDigest(HexFormat.of().formatHex(digest.digest(body)));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("required digest algorithm SHA-256 is not available", e);
    }
  }
}
