package org.knapweedcleat.router.gate;

import io.vavr.control.Either;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRefusal;

/** Authenticates API keys against the active fleet document. */
public interface KeyAuthenticator {

  /**
   * Finds the client account of a key.
   *
   * @param presentedKey the key presented by a caller, null if there is none
   * @return the identity, or the reason for refusing the key
   */
  Either<KeyRefusal, KeyIdentity> authenticate(String presentedKey);

  /**
   * Returns whether a key is still valid for the same client account.
   *
   * @param identity the identity found when the key was authenticated
   * @return whether the key is still valid
   */
  boolean isStillValid(KeyIdentity identity);
}
