package org.knapweedcleat.core.audit;

/** Records changes for operators. */
@FunctionalInterface
public interface AuditTrail {

  /**
   * Records a change. Never throws an exception and never blocks.
   *
   * @param event the change
   */
  void record(AuditEvent event);
}
