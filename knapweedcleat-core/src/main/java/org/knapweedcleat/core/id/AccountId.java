package org.knapweedcleat.core.id;

/**
 * The id of a client account.
 *
 * @param value the non-blank name
 */
public record AccountId(String value) implements Comparable<AccountId> {

  /** Checks that the name is not blank. */
  public AccountId {
    IdValidation.requireNonBlank(value, "account");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
   */
  public static AccountId of(String value) {
    return new AccountId(value);
  }

  @Override
  public int compareTo(AccountId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
