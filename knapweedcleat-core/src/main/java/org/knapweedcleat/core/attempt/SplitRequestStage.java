package org.knapweedcleat.core.attempt;

/** The stages of a split request, by what it is waiting for. */
enum SplitRequestStage {
  /** The scheduler's decision. */
  PLACING,
  /** The release of memory that an earlier placement may hold at the same endpoints. */
  RELEASING,
  /** The reservation of memory at the decode endpoint. */
  RESERVING,
  /** The end of the delay that the scheduler set before prefill. */
  DELAYING,
  /** The completion of prefill. */
  PREFILLING,
  /** The KV cache transfer to the decode endpoint. */
  IMPORTING,
  /** The tokens of the decode stream. */
  DECODING,
  /** The end of the delay after the scheduler refused to place a resumed answer. */
  PAUSING,
  /** Nothing; the answer has ended or failed. */
  OVER
}
