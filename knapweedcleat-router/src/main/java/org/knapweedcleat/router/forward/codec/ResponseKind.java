package org.knapweedcleat.router.forward.codec;

/** What an endpoint's answer says of the request. */
public enum ResponseKind {
  /** The endpoint has not run the request and never will. */
  NOT_RUN,
  /**
   * Another endpoint answers where this one was, or it does no such work; the request has not run.
   */
  MISDIRECTED,
  /** The answer belongs to another request. */
  FOREIGN,
  /** The endpoint's own answer, to be passed on unchanged. */
  GENUINE,
  /** A success that does not prove to be the endpoint's. */
  UNPROVED;

  /**
   * Tells whether the request has not run and never will.
   *
   * @return true if the answer promises that
   */
  public boolean isNotRun() {
    return this == NOT_RUN || this == MISDIRECTED;
  }
}
