package org.knapweedcleat.router.operator;

import java.util.Objects;
import org.knapweedcleat.core.audit.AuditEvent;

/**
 * An event of the audit trail with its sequence number and time.
 *
 * @param number the sequence number within this incarnation, from 1
 * @param atMillis the time of recording, in milliseconds since the Unix epoch
 * @param event the event
 */
public record AuditEntry(long number, long atMillis, AuditEvent event) {

  /** Rejects a null event. */
  public AuditEntry {
    Objects.requireNonNull(event, "event");
  }
}
