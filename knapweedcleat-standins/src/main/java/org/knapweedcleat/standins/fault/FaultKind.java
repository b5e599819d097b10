package org.knapweedcleat.standins.fault;

/** What goes wrong with a call. */
public enum FaultKind {
  /** The connection is closed before the call has any effect. */
  DROP,
  /** The call has its effect, then the connection is closed without an answer. */
  LOSE_ANSWER,
  /** The call waits before it has its effect. */
  DELAY,
  /** The call has its effect, then the answer waits. */
  DELAY_ANSWER,
  /** The call is refused without effect. */
  REFUSE
}
