package org.knapweedcleat.core.id;

/**
 * The id of an instance of the router.
 *
 * @param value the non-blank name
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Checks that the name is not blank. */
  public InstanceId {
    IdValidation.requireNonBlank(value, "instance");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
   */
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
