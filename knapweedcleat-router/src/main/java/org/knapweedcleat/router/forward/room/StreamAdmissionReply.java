package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * A coordinator's answer to a {@link StreamAdmissionQuery}.
 *
 * @param outcome what was decided
 * @param placement the engines; without capacity unless the outcome is {@link Outcome#PLACED}
 * @param waitMillis the expected wait of a queued stream; for a refused one, when capacity is
 *     expected
 * @param callsAhead the number of streams that are placed before a queued one
 */
public record StreamAdmissionReply(
    Outcome outcome, StreamPlacementReply placement, long waitMillis, int callsAhead)
    implements PeerMessage {

  /** What was decided about a stream. */
  public enum Outcome {
    /** The stream has its engines. */
    PLACED,
    /** The stream waits; a {@link StreamAdmissionNotice} follows. */
    QUEUED,
    /** The stream cannot be served in time. */
    REFUSED
  }

  static StreamAdmissionReply placed(StreamPlacementReply placement) {
    return new StreamAdmissionReply(Outcome.PLACED, placement, 0, 0);
  }

  static StreamAdmissionReply queued(long expectedWaitMillis, int callsAhead) {
    return new StreamAdmissionReply(
        Outcome.QUEUED, StreamPlacementReply.NO_CAPACITY, expectedWaitMillis, callsAhead);
  }

  static StreamAdmissionReply refused(long retryAfterMillis) {
    return new StreamAdmissionReply(
        Outcome.REFUSED, StreamPlacementReply.NO_CAPACITY, retryAfterMillis, 0);
  }
}
