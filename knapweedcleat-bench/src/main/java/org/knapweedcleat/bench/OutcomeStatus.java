package org.knapweedcleat.bench;

/** How a request ended. */
enum OutcomeStatus {
  /** Whole and inside both latency targets. */
  GOOD,
  /** Whole, but the first token was late. */
  LATE_FIRST_TOKEN,
  /** Whole, but the tokens were too far apart. */
  SLOW_TOKENS,
  /** The caller gave up at the deadline before the first token. */
  GAVE_UP,
  /** Lost after it had started. */
  FAILED,
  /** Refused by the limit of its client account. */
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
