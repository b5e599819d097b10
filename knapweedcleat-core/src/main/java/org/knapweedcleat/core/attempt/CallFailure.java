package org.knapweedcleat.core.attempt;

/** How a call to an endpoint failed. */
public enum CallFailure {
  /** The connection could not be established, so no byte of the call was sent. */
  NOT_SENT(false),
  /** The endpoint rejected the call and reported that it did no work. */
  REFUSED(false),
  /** Bytes of the call may have been sent, and no usable response arrived. */
  UNKNOWN(true),
  /** The endpoint stopped sending data without closing the connection. */
  SILENT(true),
  /** The KV cache was evicted before it was transferred. */
  EVICTED(true),
  /** The endpoint no longer has the reservation or the KV cache. */
  NOT_HELD(true),
  /** The KV cache transfer between the engines failed. */
  TRANSFER(true);

  private final boolean mayHaveRun;

  CallFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /**
   * Returns whether the call may have had effects.
   *
   * @return false only if it certainly had none
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
