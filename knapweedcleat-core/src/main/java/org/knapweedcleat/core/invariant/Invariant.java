package org.knapweedcleat.core.invariant;

import java.util.Locale;

/** The invariants of the system, each checked at run time where it could be violated. */
public enum Invariant {
  /** Engines do not keep memory for requests that have ended. */
  MEMORY_RELEASED,
  /** No request is answered twice. */
  ANSWERED_ONCE,
  /** A request only runs for the client account of its API key. */
  KEY_MATCHES_ACCOUNT,
  /** No client account exceeds its rate and burst across all instances. */
  RATE_NOT_EXCEEDED,
  /** An answer reported as complete has no gaps and belongs to the caller's request. */
  ANSWER_WHOLE,
  /** A request reported as not run has not run. */
  NOT_RUN_IS_TRUE,
  /** A call with side effects runs at most once. */
  AT_MOST_ONCE,
  /** A leaving endpoint receives no new work. */
  NO_WORK_FOR_LEAVING,
  /** A planned shutdown aborts no request. */
  DRAIN_CUTS_NOTHING,
  /** An applied configuration is never replaced by an older one. */
  REVISION_RISES;

  /**
   * Returns the name of the violation counter.
   *
   * @return the metric name
   */
  public String metricName() {
    return "invariant.violated." + name().toLowerCase(Locale.ROOT);
  }
}
