package org.knapweedcleat.core.id;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Names a request of a caller; unique over all instances and incarnations.
 *
 * @param value the non-empty name
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Checks the name. */
  public RequestId {
    IdValidation.requireNonBlank(value, "request");
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

  /**
   * Returns the id of a request that an incarnation takes in.
   *
   * @param owner the incarnation
   * @param number a number that no other request of the incarnation has, at least 0
   * @return the id
   */
  public static RequestId of(IncarnationId owner, long number) {
    return new RequestId(owner + "-" + number);
  }

  /**
   * Returns the incarnation that took the request in.
   *
   * @return the incarnation, empty if the id was not made by an incarnation
   */
  public Optional<IncarnationId> owner() {
    int dash = value.lastIndexOf('-');
    if (dash < 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(IncarnationId.parse(value.substring(0, dash)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the number by which the owner tells its requests apart.
   *
   * @return the number, empty if the id was not made by an incarnation
   */
  public OptionalLong number() {
    if (owner().isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(value.substring(value.lastIndexOf('-') + 1)));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
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
