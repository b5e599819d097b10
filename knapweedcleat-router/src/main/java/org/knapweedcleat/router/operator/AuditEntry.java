package org.knapweedcleat.router.operator;

import java.util.Objects;
import org.knapweedcleat.core.audit.AuditEvent;

/**
 * An event with its place in the audit trail.
 *
 * @param number counts the events of this incarnation from 1
 * @param atMillis when it was recorded, since the epoch
 * @param event the event
 */
public record AuditEntry(long number, long atMillis, AuditEvent event) {

  /** Checks that there is an event. */
  public AuditEntry {
    Objects.requireNonNull(event, "event");
  }
}
