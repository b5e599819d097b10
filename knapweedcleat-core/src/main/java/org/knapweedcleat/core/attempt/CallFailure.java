package org.knapweedcleat.core.attempt;

/** How a call to an endpoint failed. */
public enum CallFailure {
  /** No connection came about, so no byte of the call left. */
  NOT_SENT(false),
  /** The endpoint answered that it has done nothing. */
  REFUSED(false),
  /** Bytes of the call may have left and no usable answer came. */
  UNKNOWN(true),
  /** The endpoint stopped sending and kept the connection open. */
  SILENT(true),
  /** The KV cache was evicted before it was transferred. */
  EVICTED(true),
  /** The endpoint no longer has the reservation or the KV cache. */
  NOT_HELD(true),
  /** The transfer between the engines failed. */
  TRANSFER(true);

  private final boolean mayHaveRun;

  CallFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /**
   * Tells whether the call may have had effects.
   *
   * @return false only if it certainly had none
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
