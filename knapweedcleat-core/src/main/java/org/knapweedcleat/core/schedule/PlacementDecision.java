package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/** A scheduler's answer to a {@link PlacementRequest}; each request attempt gets exactly one. */
public sealed interface PlacementDecision extends PeerMessage {

  /**
   * Returns the request that is decided.
   *
   * @return the request
   */
  RequestId request();

  /**
   * Returns which placement of the request is decided.
   *
   * @return the count, from 1
   */
  int attempt();

  /**
   * Returns the same decision under another attempt.
   *
   * @param newAttempt the count, from 1
   * @return the decision
   */
  PlacementDecision withAttempt(int newAttempt);

  /**
   * A split request runs on two engines.
   *
   * @param request the request
   * @param attempt counts the placements of this request, from 1
   * @param prefill where the prompt is read
   * @param decode where tokens are generated
   * @param prefillDelayMillis how long to wait after the reservation before prefill starts
   */
  record Split(
      RequestId request,
      int attempt,
      EndpointId prefill,
      EndpointId decode,
      long prefillDelayMillis)
      implements PlacementDecision {
    @Override
    public Split withAttempt(int newAttempt) {
      return new Split(request, newAttempt, prefill, decode, prefillDelayMillis);
    }
  }

  /**
   * A plain call runs on one endpoint.
   *
   * @param request the request
   * @param attempt counts the placements of this request, from 1
   * @param endpoint where the call goes
   */
  record Plain(RequestId request, int attempt, EndpointId endpoint) implements PlacementDecision {
    @Override
    public Plain withAttempt(int newAttempt) {
      return new Plain(request, newAttempt, endpoint);
    }
  }

  /**
   * The request is refused and has not run.
   *
   * @param request the request
   * @param attempt counts the placements of this request, from 1
   * @param reason why
   * @param retryAfterMillis when asking again may succeed
   */
  record Refused(RequestId request, int attempt, RefusalReason reason, long retryAfterMillis)
      implements PlacementDecision {
    @Override
    public Refused withAttempt(int newAttempt) {
      return new Refused(request, newAttempt, reason, retryAfterMillis);
    }
  }
}
