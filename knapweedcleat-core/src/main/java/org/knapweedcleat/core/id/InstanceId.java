package org.knapweedcleat.core.id;

/**
 * Names an instance of the router.
 *
 * @param value the non-empty name
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Checks the name. */
  public InstanceId {
    IdValidation.requireNonBlank(value, "instance");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
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
