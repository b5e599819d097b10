package org.knapweedcleat.router.forward.codec;

import java.util.List;
import java.util.Optional;

/**
 * A header of an HTTP message.
 *
 * @param name the name as the sender spelled it
 * @param value the value
 */
public record HeaderField(String name, String value) {

  /**
   * Finds the first value of a header.
   *
   * @param headers the headers
   * @param name the name, case-insensitive
   * @return the value; empty if the header is absent
   */
  public static Optional<String> firstValue(List<HeaderField> headers, String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }
}
