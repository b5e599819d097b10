package org.knapweedcleat.core.id;

/**
 * The id of a service that callers request.
 *
 * @param value the non-blank name
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks that the name is not blank. */
  public ServiceId {
    IdValidation.requireNonBlank(value, "service");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
   */
  public static ServiceId of(String value) {
    return new ServiceId(value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
