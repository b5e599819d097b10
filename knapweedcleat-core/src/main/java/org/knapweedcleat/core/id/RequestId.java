package org.knapweedcleat.core.id;

/**
 * Names a request of a caller; unique over all instances and incarnations.
 *
 * @param value the non-empty name
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Checks the name. */
  public RequestId {
    Ids.requireName(value, "request");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-empty name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is empty
   */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
