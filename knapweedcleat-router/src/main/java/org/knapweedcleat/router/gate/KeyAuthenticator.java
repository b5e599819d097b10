package org.knapweedcleat.router.gate;

import io.vavr.control.Either;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRefusal;

/** Tells which client account a key stands for, by the document in force. */
public interface KeyAuthenticator {

  /**
   * Finds whom a key stands for.
   *
   * @param presentedKey the key as a caller presents it; null for none
   * @return whom it stands for, or why it is not accepted
   */
  Either<KeyRefusal, KeyIdentity> authenticate(String presentedKey);

  /**
   * Tells whether a key still works and stands for the same client account.
   *
   * @param identity whom the key stood for when it was presented
   * @return true if it still does
   */
  boolean isStillValid(KeyIdentity identity);
}
