package org.knapweedcleat.bench;

/** Why a prefill was done for nothing. */
enum WasteCause {
  /** Its result was evicted before it was imported. */
  EVICTED,
  /** The caller gave up. */
  GAVE_UP,
  /** The decode engine was lost. */
  ENGINE_LOST
}
