package org.knapweedcleat.core.order;

/** What became of an order that was sent. */
public enum OrderResult {
  /** The engine has carried it out. */
  ACCEPTED,
  /** The engine has seen a higher fencing number: another instance orders by newer knowledge. */
  OLD_FENCING_NUMBER,
  /** No answer came; it may have been carried out. */
  UNKNOWN
}
