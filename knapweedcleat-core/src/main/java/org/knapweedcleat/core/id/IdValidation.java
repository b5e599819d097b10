package org.knapweedcleat.core.id;

import java.util.Objects;

/** Checks that the value types of this package share. */
final class IdValidation {

  private IdValidation() {}

  static void requireNonBlank(String value, String kind) {
    Objects.requireNonNull(value, kind);
    if (value.isBlank()) {
      throw new IllegalArgumentException(kind + " id is blank");
    }
  }
}
