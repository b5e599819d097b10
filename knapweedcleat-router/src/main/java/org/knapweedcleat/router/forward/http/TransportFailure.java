package org.knapweedcleat.router.forward.http;

/** Why a request to an endpoint got no whole answer. */
public enum TransportFailure {
  /** No connection came about; no byte of the request was sent. */
  NOT_CONNECTED(false, true),
  /** The connection was reset or closed. */
  CONNECTION_LOST(true, false),
  /** The bytes that came are no answer. */
  NOT_HTTP(true, false),
  /** Nothing came for too long. */
  SILENT(true, true);

  private final boolean mayHaveReachedEndpoint;
  private final boolean unreachable;

  TransportFailure(boolean mayHaveArrived, boolean unreachable) {
    this.mayHaveReachedEndpoint = mayHaveArrived;
    this.unreachable = unreachable;
  }

  /**
   * Tells whether the endpoint seems to be out of reach.
   *
   * @return true if it did not react at all
   */
  public boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Tells whether bytes of the request may have reached the endpoint.
   *
   * @return false if the request cannot have run
   */
  public boolean mayHaveReachedEndpoint() {
    return mayHaveReachedEndpoint;
  }
}
