package org.knapweedcleat.core.account;

/** Why a presented key is not accepted. */
public enum KeyRefusal {
  /** No key was presented. */
  MISSING,
  /** What was presented is longer than any key. */
  TOO_LONG,
  /** No declared key has this digest. */
  UNKNOWN
}
