package org.knapweedcleat.core.id;

import java.util.Objects;

/** Validation shared by the id types. */
final class IdValidation {

  private IdValidation() {}

  static void requireNonBlank(String value, String kind) {
    Objects.requireNonNull(value, kind);
    if (value.isBlank()) {
      throw new IllegalArgumentException(kind + " id must not be blank");
    }
  }
}
