package org.knapweedcleat.core.id;

/**
 * Names a failure domain.
 *
 * @param value the non-empty name
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

  /** Checks the name. */
  public FailureDomainId {
    IdValidation.requireNonBlank(value, "failure domain");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
   */
  public static FailureDomainId of(String value) {
    return new FailureDomainId(value);
  }

  @Override
  public int compareTo(FailureDomainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
