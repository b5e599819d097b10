package org.knapweedcleat.core.config;

/** Result of adding a part to a document. */
public enum PartOutcome {
  /** The part was added. */
  ACCEPTED,
  /** The manifest does not list the part. */
  NOT_NAMED,
  /** The text does not match the requested digest. */
  WRONG_DIGEST
}
