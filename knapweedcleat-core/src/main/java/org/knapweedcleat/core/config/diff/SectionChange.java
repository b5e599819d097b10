package org.knapweedcleat.core.config.diff;

import io.vavr.collection.List;
import org.knapweedcleat.core.id.TeamId;

/**
 * The change of a section between two documents.
 *
 * @param kind whether it was added, removed or changed
 * @param section the section header without brackets
 * @param teams the teams that own it in either document
 * @param values the values that differ
 * @param dangers the dangers of the change
 */
public record SectionChange(
    Kind kind, String section, List<TeamId> teams, List<ValueChange> values, List<Danger> dangers) {

  /** The kind of a change. */
  public enum Kind {
    /** The section is only in the newer document. */
    ADDED,
    /** The section is only in the older document. */
    REMOVED,
    /** The section is in both documents with different values. */
    CHANGED
  }
}
