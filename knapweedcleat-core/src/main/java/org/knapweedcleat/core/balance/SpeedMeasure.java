package org.knapweedcleat.core.balance;

/** What is measured of the speed of an engine. Each is compared among the engines that have it. */
public enum SpeedMeasure {
  /** Milliseconds per token of a prompt on a prefill engine. */
  PREFILL,
  /** Milliseconds per token of a prompt on an engine that also generates the response. */
  LOCAL_PREFILL,
  /** Milliseconds between events of a stream. */
  STEP
}
