package org.knapweedcleat.core.account;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ApiKeySpec;

/** The keys of one document, found by their digests; immutable. */
public final class KeyRegistry {

  /** The longest key that is looked at, in characters. */
  public static final int MAX_KEY_CHARS = 512;

  private static final KeyRegistry EMPTY = new KeyRegistry(Map.of());

  private final Map<KeyDigest, KeyIdentity> identitiesByDigest;

  private KeyRegistry(Map<KeyDigest, KeyIdentity> identities) {
    this.identitiesByDigest = identities;
  }

  /**
   * Returns the ring without keys.
   *
   * @return the ring
   */
  public static KeyRegistry empty() {
    return EMPTY;
  }

  /**
   * Returns the ring of a document's keys.
   *
   * @param document the document
   * @return the ring
   */
  public static KeyRegistry of(FleetDocument document) {
    Map<KeyDigest, KeyIdentity> identities = new HashMap<>();
    for (ApiKeySpec key : document.keys()) {
      identities.put(key.digest(), new KeyIdentity(key.account(), key.name(), key.digest()));
    }
    return new KeyRegistry(identities);
  }

  /**
   * Finds whom a key stands for.
   *
   * @param presentedKey the key as a caller presents it; null for none
   * @return whom it stands for, or why it is not accepted
   */
  public Either<KeyRefusal, KeyIdentity> authenticate(String presentedKey) {
    if (presentedKey == null || presentedKey.isEmpty()) {
      return Either.left(KeyRefusal.MISSING);
    }
    if (presentedKey.length() > MAX_KEY_CHARS) {
      return Either.left(KeyRefusal.TOO_LONG);
    }
    // The time of the look-up depends on the digest, from which no key can be guessed.
    KeyIdentity identity = identitiesByDigest.get(KeyDigest.ofKey(presentedKey));
    return identity == null ? Either.left(KeyRefusal.UNKNOWN) : Either.right(identity);
  }

  /**
   * Tells whether a key still works and stands for the same client account.
   *
   * @param identity whom the key stood for when it was presented
   * @return true if it still does
   */
  public boolean isStillValid(KeyIdentity identity) {
    KeyIdentity now = identitiesByDigest.get(identity.digest());
    return now != null && now.account().equals(identity.account());
  }

  /**
   * Lists the keys of an older ring that no longer work or now stand for another account.
   *
   * @param older the older ring
   * @return the withdrawn keys in the order of their names
   */
  public Seq<KeyIdentity> withdrawnSince(KeyRegistry older) {
    return List.ofAll(older.identitiesByDigest.values())
        .reject(this::isStillValid)
        .sortBy(KeyIdentity::keyName);
  }

  /**
   * Lists the keys that an older ring did not have or that stood for another account.
   *
   * @param older the older ring
   * @return the given keys in the order of their names
   */
  public Seq<KeyIdentity> addedSince(KeyRegistry older) {
    return older.withdrawnSince(this);
  }
}
