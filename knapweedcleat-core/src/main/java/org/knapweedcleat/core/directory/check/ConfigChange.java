package org.knapweedcleat.core.directory.check;

import java.util.List;

/**
 * A change of an entry between two versions of a configuration.
 *
 * @param kind the kind of change
 * @param entry the entry, of the old version if it was removed and of the new one otherwise
 * @param fields the changed fields; empty unless the entry was changed
 */
public record ConfigChange(Kind kind, ConfigEntry entry, List<FieldChange> fields) {

  /** The kinds of change. */
  public enum Kind {
    /** The old version does not have the entry. */
    ADDED,
    /** The new version does not have the entry. */
    REMOVED,
    /** Both versions have the entry, with different fields. */
    CHANGED
  }

  /** Copies the list. */
  public ConfigChange {
    fields = List.copyOf(fields);
  }
}
