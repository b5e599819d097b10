package org.knapweedcleat.core.account;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.ApiKeySpec;
import org.knapweedcleat.core.config.FleetDocument;

/** An immutable registry of the API keys in a configuration document, indexed by digest. */
public final class KeyRegistry {

  /** The maximum length of a key in characters. */
  public static final int MAX_KEY_CHARS = 512;

  private static final KeyRegistry EMPTY = new KeyRegistry(Map.of());

  private final Map<KeyDigest, KeyIdentity> identitiesByDigest;

  private KeyRegistry(Map<KeyDigest, KeyIdentity> identities) {
    this.identitiesByDigest = identities;
  }

  /**
   * Returns the registry without keys.
   *
   * @return the registry
   */
  public static KeyRegistry empty() {
    return EMPTY;
  }

  /**
   * Returns the registry of the keys in a document.
   *
   * @param document the document
   * @return the registry
   */
  public static KeyRegistry of(FleetDocument document) {
    Map<KeyDigest, KeyIdentity> identities = new HashMap<>();
    for (ApiKeySpec key : document.keys()) {
      identities.put(key.digest(), new KeyIdentity(key.account(), key.name(), key.digest()));
    }
    return new KeyRegistry(identities);
  }

  /**
   * Authenticates a key.
   *
   * @param presentedKey the key as presented by the caller, null if absent
   * @return the key's identity, or the reason for rejecting it
   */
  public Either<KeyRefusal, KeyIdentity> authenticate(String presentedKey) {
    if (presentedKey == null || presentedKey.isEmpty()) {
      return Either.left(KeyRefusal.MISSING);
    }
    if (presentedKey.length() > MAX_KEY_CHARS) {
      return Either.left(KeyRefusal.TOO_LONG);
    }
    // Lookup time depends only on the digest, so it reveals nothing that helps to guess a key.
    KeyIdentity identity = identitiesByDigest.get(KeyDigest.ofKey(presentedKey));
    return identity == null ? Either.left(KeyRefusal.UNKNOWN) : Either.right(identity);
  }

  /**
   * Returns whether a key is still valid for the same client account.
   *
   * @param identity the identity at the time when the key was presented
   * @return true if this registry still has the key for that account
   */
  public boolean isStillValid(KeyIdentity identity) {
    KeyIdentity current = identitiesByDigest.get(identity.digest());
    return current != null && current.account().equals(identity.account());
  }

  /**
   * Returns the keys of an older registry that are no longer valid or now belong to another client
   * account.
   *
   * @param older the older registry
   * @return the withdrawn keys, ordered by name
   */
  public Seq<KeyIdentity> withdrawnSince(KeyRegistry older) {
    return List.ofAll(older.identitiesByDigest.values())
        .reject(this::isStillValid)
        .sortBy(KeyIdentity::keyName);
  }

  /**
   * Returns the keys that an older registry did not have or had for another client account.
   *
   * @param older the older registry
   * @return the added keys, ordered by name
   */
  public Seq<KeyIdentity> addedSince(KeyRegistry older) {
    return older.withdrawnSince(this);
  }
}
