package org.knapweedcleat.core.attempt;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * What a caller hands to any instance to go on with an answer whose instance is gone.
 *
 * <p>It is checked with a code that is keyed with the digest of the caller's key, so nobody makes
 * one for another client account without knowing a key of it.
 *
 * @param request the request whose answer broke off
 * @param account the client account
 * @param service the service
 * @param promptDigest the SHA-256 of the prompt, in hexadecimal
 * @param maxTokens the length limit of the whole answer
 */
public record ContinuationToken(
    RequestId request, AccountId account, ServiceId service, String promptDigest, int maxTokens) {

  private static final String SEPARATOR = "\n";
  private static final int FIELD_COUNT = 5;
  private static final int MAX_TEXT_CHARS = 4_096;

  /**
   * Writes the text that callers get.
   *
   * @param key the digest of the caller's key
   * @return an opaque text of URL-safe characters
   */
  public String encode(KeyDigest key) {
    byte[] content = serialize().getBytes(StandardCharsets.UTF_8);
    byte[] mac = hmac(key, content);
    byte[] bytes = new byte[content.length + mac.length];
    System.arraycopy(mac, 0, bytes, 0, mac.length);
    System.arraycopy(content, 0, bytes, mac.length, content.length);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  /**
   * Reads the text that a caller presents.
   *
   * @param text the text
   * @param key the digest of the key that came with it
   * @return empty if the text has another form or was made for another key
   */
  public static Optional<ContinuationToken> decode(String text, KeyDigest key) {
    if (text.length() > MAX_TEXT_CHARS) {
      return Optional.empty();
    }
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(text);
      return bytes.length <= HmacSha256.LENGTH_BYTES ? Optional.empty() : verify(bytes, key);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Tells whether the broken answer was for a client account and a service.
   *
   * @param presentAccount the client account of the key that came with it
   * @param presentService the service of the route that it came to
   * @return true if both are the same as then
   */
  public boolean isFor(AccountId presentAccount, ServiceId presentService) {
    return account.equals(presentAccount) && service.equals(presentService);
  }

  /**
   * Tells whether the broken answer was for a body.
   *
   * @param prompt the prompt that came with it
   * @param presentMaxTokens the length limit that came with it
   * @return true if both are the same as then
   */
  public boolean matchesBody(String prompt, int presentMaxTokens) {
    return promptDigest.equals(Sha256.hexOf(prompt)) && maxTokens == presentMaxTokens;
  }

  private static Optional<ContinuationToken> verify(byte[] bytes, KeyDigest key) {
    byte[] content = new byte[bytes.length - HmacSha256.LENGTH_BYTES];
    System.arraycopy(bytes, HmacSha256.LENGTH_BYTES, content, 0, content.length);
    byte[] mac = Arrays.copyOf(bytes, HmacSha256.LENGTH_BYTES);
    if (!MessageDigest.isEqual(mac, hmac(key, content))) {
      return Optional.empty();
    }
    String[] fields = new String(content, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    return fields.length == FIELD_COUNT ? Optional.of(fromFields(fields)) : Optional.empty();
  }

  private static ContinuationToken fromFields(String[] fields) {
    return new ContinuationToken(
        RequestId.of(fields[0]),
        AccountId.of(fields[1]),
        ServiceId.of(fields[2]),
        fields[3],
        Integer.parseInt(fields[4]));
  }

  private String serialize() {
    return String.join(
        SEPARATOR,
        request.value(),
        account.value(),
        service.value(),
        promptDigest,
        Integer.toString(maxTokens));
  }

  private static byte[] hmac(KeyDigest key, byte[] content) {
    byte[] secret = key.hex().getBytes(StandardCharsets.UTF_8);
    return HmacSha256.compute(secret, new String(content, StandardCharsets.UTF_8));
  }
}
