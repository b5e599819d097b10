package org.knapweedcleat.core.id;

/**
 * Names a pool: the endpoints that serve the same work.
 *
 * @param value the non-empty name
 */
public record PoolId(String value) implements Comparable<PoolId> {

  /** Checks the name. */
  public PoolId {
    IdValidation.requireNonBlank(value, "pool");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
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
