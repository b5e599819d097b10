package org.knapweedcleat.router.forward.codec;

/** What an endpoint's response says about the request. */
public enum ResponseKind {
  /** The endpoint has not run the request and never will. */
  NOT_RUN,
  /**
   * Another endpoint now listens at the address, or the endpoint does not run such requests; the
   * request has not run.
   */
  MISDIRECTED,
  /** The response belongs to another request. */
  FOREIGN,
  /** The endpoint's own response, to be passed on unchanged. */
  GENUINE,
  /** A success response without proof that it comes from the endpoint. */
  UNPROVED;

  /**
   * Tells whether the request has not run and never will.
   *
   * @return true if the response guarantees it
   */
  public boolean isNotRun() {
    return this == NOT_RUN || this == MISDIRECTED;
  }
}
