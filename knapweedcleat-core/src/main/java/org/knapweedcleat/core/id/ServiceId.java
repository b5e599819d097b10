package org.knapweedcleat.core.id;

/**
 * Names a service that callers ask for.
 *
 * @param value the non-empty name
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks the name. */
  public ServiceId {
    IdValidation.requireNonBlank(value, "service");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
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
