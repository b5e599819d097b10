package org.knapweedcleat.core.id;

/**
 * The id of a region, which is a group of failure domains.
 *
 * @param value the non-blank name
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Checks that the name is not blank. */
  public RegionId {
    IdValidation.requireNonBlank(value, "region");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
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
