package org.knapweedcleat.core.schedule;

/** The progress of a placed request, reported by the instance that serves it. */
public enum PlacementStage {
  /** The decode endpoint has reserved the memory. */
  RESERVED(false),
  /** The prefill endpoint has received the prompt. */
  PREFILL_STARTED(false),
  /** The KV cache is ready at the prefill endpoint. */
  PREFILLED(false),
  /** The KV cache is at the decode endpoint. */
  IMPORTED(false),
  /** The first token has arrived. */
  FIRST_TOKEN(false),
  /** The complete response has arrived. */
  FINISHED(true),
  /** The decode endpoint refused the reservation for lack of memory. */
  RESERVATION_REFUSED(true),
  /** The prefill endpoint failed. */
  PREFILL_FAILED(true),
  /** The KV cache transfer failed, or the cache was evicted first. */
  TRANSFER_FAILED(true),
  /** The decode or plain endpoint failed. */
  ENDPOINT_FAILED(true),
  /** The caller disconnected or its key was withdrawn. */
  CANCELLED(true);

  private final boolean terminal;

  PlacementStage(boolean terminal) {
    this.terminal = terminal;
  }

  /**
   * Returns whether the placement has ended.
   *
   * @return true if no further stage follows
   */
  public boolean isTerminal() {
    return terminal;
  }
}
