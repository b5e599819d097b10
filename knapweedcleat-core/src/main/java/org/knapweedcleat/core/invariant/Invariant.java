package org.knapweedcleat.core.invariant;

import java.util.Locale;

/** What has to hold at all times; the program checks each where it could break. */
public enum Invariant {
  /** No engine memory stays held by requests that are gone. */
  MEMORY_RELEASED,
  /** No request is answered twice. */
  ANSWERED_ONCE,
  /** A request runs only for the client account whose key came with it. */
  KEY_MATCHES_ACCOUNT,
  /** No client account gets more than its rate and burst over all instances together. */
  RATE_NOT_EXCEEDED,
  /** A caller receives the whole answer to its own request. */
  ANSWER_WHOLE,
  /** A refusal that says "not run" is true. */
  NOT_RUN_IS_TRUE,
  /** A call with a side effect runs at most once. */
  AT_MOST_ONCE,
  /** A leaving endpoint gets no new work. */
  NO_WORK_FOR_LEAVING,
  /** A planned stop cuts no request. */
  DRAIN_CUTS_NOTHING,
  /** An accepted configuration never reverts. */
  REVISION_RISES;

  /**
   * Returns the name of the counter of violations.
   *
   * @return the metric's name
   */
  public String metricName() {
    return "invariant.violated." + name().toLowerCase(Locale.ROOT);
  }
}
