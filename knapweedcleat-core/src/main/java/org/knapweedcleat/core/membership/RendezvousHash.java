package org.knapweedcleat.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;

/**
 * Rendezvous (highest random weight) hashing: assigns a key to one of several candidates. All
 * processes with the same candidates make the same choice, and adding or removing a candidate only
 * moves the keys assigned to it.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final char SEPARATOR = '\u0000';

  private RendezvousHash() {}

  /**
   * Returns the candidate with the highest weight; ties are broken by id.
   *
   * @param <T> the type of the candidates
   * @param key the key
   * @param candidates the candidates in any order
   * @param idOf returns the id of a candidate, unique among the candidates
   * @return the chosen candidate, or empty if there are none
   */
  public static <T> Optional<T> choose(
      String key, Collection<T> candidates, Function<T, String> idOf) {
    Comparator<T> byWeight =
        (first, second) ->
            Long.compareUnsigned(weight(key, idOf.apply(first)), weight(key, idOf.apply(second)));
    return candidates.stream().max(byWeight.thenComparing(idOf));
  }

  /**
   * Returns the weight of a candidate for a key, which is the same in every process.
   *
   * @param key the key
   * @param candidateId the candidate's id
   * @return a uniformly distributed unsigned 64-bit number
   */
  public static long weight(String key, String candidateId) {
    long hash = append(FNV_OFFSET, key);
    hash = (hash ^ SEPARATOR) * FNV_PRIME;
    return mix(append(hash, candidateId));
  }

  private static long append(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
