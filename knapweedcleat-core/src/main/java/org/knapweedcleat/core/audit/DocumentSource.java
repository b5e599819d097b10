package org.knapweedcleat.core.audit;

/** Where an instance learned of a document. */
public enum DocumentSource {
  /** From the platform's configuration service. */
  PLATFORM,
  /** From another instance. */
  PEER
}
