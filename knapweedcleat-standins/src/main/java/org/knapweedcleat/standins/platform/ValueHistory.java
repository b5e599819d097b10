package org.knapweedcleat.standins.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Keeps all published values so that stale ones can be served. */
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

  /** Finds the latest value published at or before a revision. */
  Optional<Value> findAt(String name, long maxRevision) {
    return values.stream()
        .filter(value -> value.name().equals(name) && value.revision() <= maxRevision)
        .max(Comparator.comparingLong(Value::revision));
  }

  record Value(String name, long revision, String text) {}
}
