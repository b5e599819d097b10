package org.knapweedcleat.core.quarantine;

/**
 * The id of a part of a prompt, which several requests may share.
 *
 * @param value the non-blank id
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {

  /** Checks that the id is not blank. */
  public PromptPartId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("prompt part id is blank");
    }
  }

  /**
   * Returns the id with the given value.
   *
   * @param value the non-blank id
   * @return the id
   * @throws NullPointerException if the value is null
   * @throws IllegalArgumentException if the value is blank
   */
  public static PromptPartId of(String value) {
    return new PromptPartId(value);
  }

  @Override
  public int compareTo(PromptPartId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
