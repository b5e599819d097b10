package org.knapweedcleat.core.id;

/**
 * Names a client account.
 *
 * @param value the non-empty name
 */
public record AccountId(String value) implements Comparable<AccountId> {

  /** Checks the name. */
  public AccountId {
    IdValidation.requireNonBlank(value, "account");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
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
