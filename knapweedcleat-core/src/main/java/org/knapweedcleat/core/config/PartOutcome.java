package org.knapweedcleat.core.config;

/** What became of a part of a document. */
public enum PartOutcome {
  /** It is kept. */
  ACCEPTED,
  /** The manifest does not name it. */
  NOT_NAMED,
  /** Its text does not have the digest by which it was asked for. */
  WRONG_DIGEST
}
