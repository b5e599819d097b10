package org.knapweedcleat.core.id;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The id of a caller's request, unique across all instances and incarnations.
 *
 * @param value the non-blank name
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Checks that the name is not blank. */
  public RequestId {
    IdValidation.requireNonBlank(value, "request");
  }

  /**
   * Returns the id with the given name.
   *
   * @param value the non-blank name
   * @return the id
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the name is blank
   */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  /**
   * Returns the id of a request received by an incarnation.
   *
   * @param owner the incarnation
   * @param number a number that is unique within the incarnation, at least 0
   * @return the id
   */
  public static RequestId of(IncarnationId owner, long number) {
    return new RequestId(owner + "-" + number);
  }

  /**
   * Returns the incarnation that received the request.
   *
   * @return the incarnation, or empty if the id was not created by one
   */
  public Optional<IncarnationId> owner() {
    int separator = value.lastIndexOf('-');
    if (separator < 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(IncarnationId.parse(value.substring(0, separator)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the number of the request, which is unique within its owner.
   *
   * @return the number, or empty if the id was not created by an incarnation
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
