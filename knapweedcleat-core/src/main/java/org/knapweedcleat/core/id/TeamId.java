package org.knapweedcleat.core.id;

/**
 * Names a team that owns sections of the published document.
 *
 * @param value the non-empty name
 */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Checks the name. */
  public TeamId {
    IdValidation.requireNonBlank(value, "team");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
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
