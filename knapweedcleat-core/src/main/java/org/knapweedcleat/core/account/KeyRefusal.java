package org.knapweedcleat.core.account;

/** The reason for rejecting a presented API key. */
public enum KeyRefusal {
  /** No key was presented. */
  MISSING,
  /** The presented text exceeds the maximum key length. */
  TOO_LONG,
  /** No configured key has this digest. */
  UNKNOWN
}
