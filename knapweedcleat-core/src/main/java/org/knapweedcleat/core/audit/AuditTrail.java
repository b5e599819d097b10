package org.knapweedcleat.core.audit;

/** Takes the changes that operators want to find again. */
@FunctionalInterface
public interface AuditTrail {

  /**
   * Adds a change; never fails and never blocks.
   *
   * @param event the change
   */
  void record(AuditEvent event);
}
