package org.knapweedcleat.core.id;

/**
 * The id of a pool, which is a set of endpoints that serve the same work.
 *
 * @param value the non-blank name
 */
public record PoolId(String value) implements Comparable<PoolId> {

  /** Checks that the name is not blank. */
  public PoolId {
    IdValidation.requireNonBlank(value, "pool");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
   */
  public static PoolId of(String value) {
    return new PoolId(value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
