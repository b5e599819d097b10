package org.knapweedcleat.core.order;

/** The result of sending an order. */
public enum OrderResult {
  /** The engine executed the order. */
  ACCEPTED,
  /**
   * The engine has seen a higher fencing number from an instance with a newer document or epoch.
   */
  OLD_FENCING_NUMBER,
  /** No response arrived; the order may have been executed. */
  UNKNOWN
}
