package org.knapweedcleat.router.operator;

import java.util.List;

/**
 * A part of the audit trail.
 *
 * @param next the number to ask for next
 * @param missed the events after the number asked for that are no longer kept
 * @param entries the events, oldest first
 */
public record AuditPage(long next, long missed, List<AuditEntry> entries) {

  /** Copies the entries. */
  public AuditPage {
    entries = List.copyOf(entries);
  }
}
