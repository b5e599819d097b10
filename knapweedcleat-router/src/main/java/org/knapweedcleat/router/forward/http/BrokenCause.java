package org.knapweedcleat.router.forward.http;

/** Why a request to an endpoint got no whole answer. */
public enum BrokenCause {
  /** No connection came about; no byte of the request was sent. */
  NOT_CONNECTED(false),
  /** The connection was reset or closed. */
  CONNECTION_LOST(true),
  /** The bytes that came are no answer. */
  NOT_HTTP(true),
  /** Nothing came for too long. */
  SILENT(true);

  private final boolean mayHaveArrived;

  BrokenCause(boolean mayHaveArrived) {
    this.mayHaveArrived = mayHaveArrived;
  }

  /**
   * Tells whether bytes of the request may have reached the endpoint.
   *
   * @return false if the request cannot have run
   */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }
}
