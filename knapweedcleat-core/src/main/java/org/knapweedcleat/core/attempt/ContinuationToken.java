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
 * Allows a caller to resume an interrupted answer at any instance when the original one is gone.
 *
 * <p>The token is authenticated with an HMAC whose secret is the digest of the caller's key, so
 * forging one for another client account requires a key of that account.
 *
 * @param request the request whose answer was interrupted
 * @param account the client account
 * @param service the service
 * @param promptDigest the SHA-256 of the prompt, in hexadecimal
 * @param maxTokens the token limit of the whole answer
 */
public record ContinuationToken(
    RequestId request, AccountId account, ServiceId service, String promptDigest, int maxTokens) {

  private static final String SEPARATOR = "\n";
  private static final int FIELD_COUNT = 5;
  private static final int MAX_TEXT_CHARS = 4_096;

  /**
   * Encodes the token for the caller.
   *
   * @param key the digest of the caller's key
   * @return an opaque, URL-safe string
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
   * Decodes and verifies a token presented by a caller.
   *
   * @param text the encoded token
   * @param key the digest of the key presented with it
   * @return the token, or empty if it is malformed or was issued for another key
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
   * Returns whether the interrupted answer belongs to the given client account and service.
   *
   * @param presentedAccount the client account of the presented key
   * @param presentedService the service of the requested route
   * @return true if both match
   */
  public boolean isFor(AccountId presentedAccount, ServiceId presentedService) {
    return account.equals(presentedAccount) && service.equals(presentedService);
  }

  /**
   * Returns whether the interrupted request had the given prompt and token limit.
   *
   * @param prompt the presented prompt
   * @param presentedMaxTokens the presented token limit
   * @return true if both match
   */
  public boolean matchesBody(String prompt, int presentedMaxTokens) {
    return promptDigest.equals(Sha256.hexOf(prompt)) && maxTokens == presentedMaxTokens;
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
