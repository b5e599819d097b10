package org.knapweedcleat.core.config.diff;

import io.vavr.collection.List;
import org.knapweedcleat.core.id.TeamId;

/**
 * One section that differs between two documents.
 *
 * @param kind whether it was added, removed or changed
 * @param section the section's header without brackets
 * @param teams the teams that own or owned it
 * @param values the values that differ
 * @param dangers what is dangerous about it
 */
public record SectionChange(
    Kind kind, String section, List<TeamId> teams, List<ValueChange> values, List<Danger> dangers) {

  /** How a section differs. */
  public enum Kind {
    /** Only the newer document has it. */
    ADDED,
    /** Only the older document has it. */
    REMOVED,
    /** Both have it. */
    CHANGED
  }
}
