package org.knapweedcleat.core.id;

/**
 * Names an endpoint: a model engine or a plain service.
 *
 * @param value the non-empty name
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Checks the name. */
  public EndpointId {
    IdValidation.requireNonBlank(value, "endpoint");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
   */
  public static EndpointId of(String value) {
    return new EndpointId(value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
