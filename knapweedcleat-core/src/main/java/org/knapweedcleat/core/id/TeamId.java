package org.knapweedcleat.core.id;

/**
 * The id of a team that owns sections of the configuration document.
 *
 * @param value the non-blank name
 */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Checks that the name is not blank. */
  public TeamId {
    IdValidation.requireNonBlank(value, "team");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
   */
  public static TeamId of(String value) {
    return new TeamId(value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
