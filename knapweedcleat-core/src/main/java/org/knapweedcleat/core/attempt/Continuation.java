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
public record Continuation(
    RequestId request, AccountId account, ServiceId service, String promptDigest, int maxTokens) {

  private static final String SEPARATOR = "\n";
  private static final int PARTS = 5;
  private static final int MAX_TEXT = 4_096;

  /**
   * Writes the text that callers get.
   *
   * @param key the digest of the caller's key
   * @return an opaque text of URL-safe characters
   */
  public String encode(KeyDigest key) {
    byte[] content = content().getBytes(StandardCharsets.UTF_8);
    byte[] code = code(key, content);
    byte[] all = new byte[content.length + code.length];
    System.arraycopy(code, 0, all, 0, code.length);
    System.arraycopy(content, 0, all, code.length, content.length);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(all);
  }

  /**
   * Reads the text that a caller presents.
   *
   * @param text the text
   * @param key the digest of the key that came with it
   * @return empty if the text has another form or was made for another key
   */
  public static Optional<Continuation> decode(String text, KeyDigest key) {
    if (text.length() > MAX_TEXT) {
      return Optional.empty();
    }
    try {
      byte[] all = Base64.getUrlDecoder().decode(text);
      return all.length <= KeyedCode.BYTES ? Optional.empty() : checked(all, key);
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
  public boolean continues(AccountId presentAccount, ServiceId presentService) {
    return account.equals(presentAccount) && service.equals(presentService);
  }

  /**
   * Tells whether the broken answer was for a body.
   *
   * @param prompt the prompt that came with it
   * @param presentMaxTokens the length limit that came with it
   * @return true if both are the same as then
   */
  public boolean hasBody(String prompt, int presentMaxTokens) {
    return promptDigest.equals(Sha256.hexOf(prompt)) && maxTokens == presentMaxTokens;
  }

  private static Optional<Continuation> checked(byte[] all, KeyDigest key) {
    byte[] content = new byte[all.length - KeyedCode.BYTES];
    System.arraycopy(all, KeyedCode.BYTES, content, 0, content.length);
    byte[] code = Arrays.copyOf(all, KeyedCode.BYTES);
    if (!MessageDigest.isEqual(code, code(key, content))) {
      return Optional.empty();
    }
    String[] parts = new String(content, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    return parts.length == PARTS ? Optional.of(ofParts(parts)) : Optional.empty();
  }

  private static Continuation ofParts(String[] parts) {
    return new Continuation(
        RequestId.of(parts[0]),
        AccountId.of(parts[1]),
        ServiceId.of(parts[2]),
        parts[3],
        Integer.parseInt(parts[4]));
  }

  private String content() {
    return String.join(
        SEPARATOR,
        request.value(),
        account.value(),
        service.value(),
        promptDigest,
        Integer.toString(maxTokens));
  }

  private static byte[] code(KeyDigest key, byte[] content) {
    byte[] secret = key.hex().getBytes(StandardCharsets.UTF_8);
    return KeyedCode.of(secret, new String(content, StandardCharsets.UTF_8));
  }
}
