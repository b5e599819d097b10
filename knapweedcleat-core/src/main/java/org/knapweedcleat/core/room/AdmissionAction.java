package org.knapweedcleat.core.room;

import org.knapweedcleat.core.balance.StreamPlacement;

/** What an {@link AdmissionQueue} decides about a call. */
public sealed interface AdmissionAction {

  /**
   * Returns the call.
   *
   * @return the call
   */
  QueuedCall call();

  /**
   * The call has its engines and has left the queue.
   *
   * @param call the call
   * @param placement the engines
   */
  record Granted(QueuedCall call, StreamPlacement placement) implements AdmissionAction {}

  /**
   * The call cannot be served in time and has left the queue.
   *
   * @param call the call
   * @param retryAfterMillis when capacity is expected for it
   */
  record Refused(QueuedCall call, long retryAfterMillis) implements AdmissionAction {}
}
