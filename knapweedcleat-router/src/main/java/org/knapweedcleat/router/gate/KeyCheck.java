package org.knapweedcleat.router.gate;

import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;

/** Tells which client account a key stands for, by the document in force. */
public interface KeyCheck {

  /**
   * Looks up a key.
   *
   * @param presentedKey the key as the caller presents it
   * @return empty if no such key is declared
   */
  default Optional<CheckedKey> authenticate(String presentedKey) {
    return find(KeyDigest.ofKey(presentedKey));
  }

  /**
   * Looks up a key by its digest.
   *
   * @param digest the digest
   * @return empty if no such key is declared any more
   */
  Optional<CheckedKey> find(KeyDigest digest);
}
