package org.knapweedcleat.standins.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Every value that was ever published, so that a stale view can be shown. */
final class ValueHistory {

  private final List<Value> values = new ArrayList<>();
  private long revision;

  private ValueHistory() {}

  static ValueHistory create() {
    return new ValueHistory();
  }

  long put(String name, String text) {
    revision++;
    values.add(new Value(name, revision, text));
    return revision;
  }

  long revision() {
    return revision;
  }

  /** Finds the newest value that is not newer than a revision. */
  Optional<Value> findAt(String name, long atRevision) {
    return values.stream()
        .filter(value -> value.name().equals(name) && value.revision() <= atRevision)
        .max(Comparator.comparingLong(Value::revision));
  }

  record Value(String name, long revision, String text) {}
}
