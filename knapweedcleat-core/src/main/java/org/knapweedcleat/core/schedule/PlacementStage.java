package org.knapweedcleat.core.schedule;

/** How far a placed request has come; reported to the scheduler by the instance that runs it. */
public enum PlacementStage {
  /** The decode endpoint has granted the memory. */
  RESERVED(false),
  /** The prefill endpoint has the prompt. */
  PREFILL_STARTED(false),
  /** The KV cache lies ready at the prefill endpoint. */
  PREFILLED(false),
  /** The KV cache is in the decode endpoint. */
  IMPORTED(false),
  /** The first token has arrived. */
  FIRST_TOKEN(false),
  /** The whole answer has arrived. */
  FINISHED(true),
  /** The decode endpoint refused the reservation for lack of memory. */
  RESERVATION_REFUSED(true),
  /** The prefill endpoint failed. */
  PREFILL_FAILED(true),
  /** The transfer failed or came after eviction. */
  TRANSFER_FAILED(true),
  /** The decode or plain endpoint failed. */
  ENDPOINT_FAILED(true),
  /** The caller went away or its key was withdrawn. */
  CANCELLED(true);

  private final boolean terminal;

  PlacementStage(boolean terminal) {
    this.terminal = terminal;
  }

  /**
   * Tells whether the placement is over.
   *
   * @return true if no further stage follows
   */
  public boolean isTerminal() {
    return terminal;
  }
}
