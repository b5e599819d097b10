package org.knapweedcleat.core.attempt;

/** What a split request waits for. */
enum SplitRequestStage {
  /** The scheduler's decision. */
  PLACING,
  /** The release of an earlier placement's memory at the same endpoints. */
  RELEASING,
  /** The decode endpoint's grant. */
  RESERVING,
  /** The time that the scheduler planned before prefill. */
  DELAYING,
  /** The prefill endpoint's answer. */
  PREFILLING,
  /** The transfer. */
  IMPORTING,
  /** Tokens. */
  DECODING,
  /** The time before a refused resume is placed again. */
  PAUSING,
  /** Nothing: the caller has its final answer. */
  OVER
}
