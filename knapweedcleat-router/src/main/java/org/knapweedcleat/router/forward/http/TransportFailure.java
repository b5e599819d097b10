package org.knapweedcleat.router.forward.http;

/** Why a request to an endpoint got no complete response. */
public enum TransportFailure {
  /** The connection could not be established; no byte of the request was sent. */
  NOT_CONNECTED(false, true),
  /**
   * This instance has no free connection to the endpoint, which accepts a limited number; no byte
   * of the request was sent.
   */
  NO_FREE_CONNECTION(false, false),
  /** The connection was reset or closed. */
  CONNECTION_LOST(true, false),
  /** The received bytes are not a valid response, or it exceeds the size limit. */
  NOT_HTTP(true, false),
  /** The endpoint did not respond in time. */
  SILENT(true, true);

  private final boolean mayHaveReachedEndpoint;
  private final boolean unreachable;

  TransportFailure(boolean mayHaveReachedEndpoint, boolean unreachable) {
    this.mayHaveReachedEndpoint = mayHaveReachedEndpoint;
    this.unreachable = unreachable;
  }

  /**
   * Tells whether the endpoint seems to be unreachable.
   *
   * @return true if the endpoint did not react at all
   */
  public boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Tells whether the failure says anything about the endpoint.
   *
   * @return false if it comes from a limit of this instance
   */
  public boolean isEndpointFault() {
    return this != NO_FREE_CONNECTION;
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
