package org.knapweedcleat.router.forward.codec;

import java.util.List;
import java.util.Optional;

/**
 * One header of an HTTP message.
 *
 * @param name its name in the sender's spelling
 * @param value its value
 */
public record HeaderField(String name, String value) {

  /**
   * Finds a header's first value.
   *
   * @param headers the headers
   * @param name the name in any case
   * @return the value, if there is one
   */
  public static Optional<String> firstValue(List<HeaderField> headers, String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }
}
