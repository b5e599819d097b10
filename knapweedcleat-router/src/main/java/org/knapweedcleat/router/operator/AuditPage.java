package org.knapweedcleat.router.operator;

import java.util.List;

/**
 * A page of the audit trail.
 *
 * @param next the number to pass to the next read
 * @param missed the number of events after the requested number that are no longer retained
 * @param entries the events, oldest first
 */
public record AuditPage(long next, long missed, List<AuditEntry> entries) {

  /** Copies the list of entries. */
  public AuditPage {
    entries = List.copyOf(entries);
  }
}
