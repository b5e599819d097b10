package org.knapweedcleat.core.audit;

/** The source from which an instance received a configuration document. */
public enum DocumentSource {
  /** From the platform's configuration service. */
  PLATFORM,
  /** From another instance. */
  PEER
}
