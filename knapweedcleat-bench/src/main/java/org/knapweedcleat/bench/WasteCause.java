package org.knapweedcleat.bench;

/** Why the result of a prefill was not used. */
enum WasteCause {
  /** The KV cache was evicted before a decode engine imported it. */
  EVICTED,
  /** The caller gave up. */
  GAVE_UP,
  /** The decode engine failed. */
  ENGINE_LOST
}
