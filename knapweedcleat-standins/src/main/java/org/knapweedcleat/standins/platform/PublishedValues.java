package org.knapweedcleat.standins.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Every value that was ever published, so that a stale view can be shown. */
final class PublishedValues {

  private final List<Value> history = new ArrayList<>();
  private long revision;

  private PublishedValues() {}

  static PublishedValues create() {
    return new PublishedValues();
  }

  long put(String name, String text) {
    revision++;
    history.add(new Value(name, revision, text));
    return revision;
  }

  long revision() {
    return revision;
  }

  /** Finds the newest value that is not newer than a revision. */
  Optional<Value> find(String name, long atRevision) {
    return history.stream()
        .filter(value -> value.name().equals(name) && value.revision() <= atRevision)
        .max(Comparator.comparingLong(Value::revision));
  }

  record Value(String name, long revision, String text) {}
}
