package org.knapweedcleat.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses one candidate for a name so that all who know the same candidates choose the same one,
 * and a candidate that comes or goes moves only its own names.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final char SEPARATOR = '\u0000';

  private RendezvousHash() {}

  /**
   * Chooses the candidate of highest weight; the candidate's text breaks a tie.
   *
   * @param <T> the type of the candidates
   * @param key the name
   * @param candidates the candidates in any order
   * @param idOf the text of a candidate, different for each
   * @return the choice, or empty if there are no candidates
   */
  public static <T> Optional<T> choose(
      String key, Collection<T> candidates, Function<T, String> idOf) {
    Comparator<T> byWeight =
        (one, other) ->
            Long.compareUnsigned(weight(key, idOf.apply(one)), weight(key, idOf.apply(other)));
    return candidates.stream().max(byWeight.thenComparing(idOf));
  }

  /**
   * Returns the weight of a candidate for a name; the same in every process.
   *
   * @param key the name
   * @param candidateId the candidate's text
   * @return a well-spread unsigned 64-bit number
   */
  public static long weight(String key, String candidateId) {
    long hash = append(FNV_OFFSET, key);
    hash = (hash ^ SEPARATOR) * FNV_PRIME;
    return mix(append(hash, candidateId));
  }

  private static long append(long start, String text) {
    long hash = start;
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
