package org.knapweedcleat.bench;

/** How a request ended. */
enum OutcomeStatus {
  /** Complete and within both latency targets. */
  GOOD,
  /** Complete, but the first token missed its target. */
  LATE_FIRST_TOKEN,
  /** Complete, but the mean time between tokens exceeded its target. */
  SLOW_TOKENS,
  /** The deadline passed before the first token. */
  GAVE_UP,
  /** Failed after it had started. */
  FAILED,
  /** Refused by the rate limit of the client account. */
  REFUSED_OVER_RATE,
  /** Refused for lack of capacity. */
  REFUSED_CAPACITY;

  boolean isRefused() {
    return this == REFUSED_OVER_RATE || this == REFUSED_CAPACITY;
  }

  boolean isServed() {
    return this == GOOD || this == LATE_FIRST_TOKEN || this == SLOW_TOKENS;
  }
}
