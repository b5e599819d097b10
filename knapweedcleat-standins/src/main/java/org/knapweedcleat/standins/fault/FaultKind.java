package org.knapweedcleat.standins.fault;

/** The faults that can be injected into a call. */
public enum FaultKind {
  /** Closes the connection before the call is executed. */
  DROP,
  /** Executes the call, then closes the connection without a response. */
  LOSE_ANSWER,
  /** Delays the execution of the call. */
  DELAY,
  /** Executes the call, then delays the response. */
  DELAY_ANSWER,
  /** Rejects the call without executing it. */
  REFUSE
}
