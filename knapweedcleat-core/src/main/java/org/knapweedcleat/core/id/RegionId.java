package org.knapweedcleat.core.id;

/**
 * Names a region: a group of failure domains.
 *
 * @param value the non-empty name
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Checks the name. */
  public RegionId {
    IdValidation.requireNonBlank(value, "region");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
   */
  public static RegionId of(String value) {
    return new RegionId(value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
