package org.knapweedcleat.core.id;

/**
 * The id of a failure domain.
 *
 * @param value the non-blank name
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

  /** Checks that the name is not blank. */
  public FailureDomainId {
    IdValidation.requireNonBlank(value, "failure domain");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
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
