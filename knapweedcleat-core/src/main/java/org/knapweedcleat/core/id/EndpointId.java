package org.knapweedcleat.core.id;

/**
 * The id of an endpoint, which is a model engine or a plain service.
 *
 * @param value the non-blank name
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Checks that the name is not blank. */
  public EndpointId {
    IdValidation.requireNonBlank(value, "endpoint");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
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
