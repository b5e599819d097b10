package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/** A scheduler's response to a {@link PlacementRequest}; each attempt gets exactly one decision. */
public sealed interface PlacementDecision extends PeerMessage {

  /**
   * Returns the request.
   *
   * @return the request
   */
  RequestId request();

  /**
   * Returns the attempt number of the request.
   *
   * @return the attempt number, from 1
   */
  int attempt();

  /**
   * Returns the same decision with another attempt number.
   *
   * @param newAttempt the attempt number, from 1
   * @return the decision
   */
  PlacementDecision withAttempt(int newAttempt);

  /**
   * Places a request on separate prefill and decode endpoints.
   *
   * @param request the request
   * @param attempt the attempt number, from 1
   * @param prefill the endpoint that processes the prompt
   * @param decode the endpoint that generates tokens
   * @param prefillDelayMillis the delay between the reservation and the start of prefill
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
   * Places a plain call on one endpoint.
   *
   * @param request the request
   * @param attempt the attempt number, from 1
   * @param endpoint the endpoint
   */
  record Plain(RequestId request, int attempt, EndpointId endpoint) implements PlacementDecision {
    @Override
    public Plain withAttempt(int newAttempt) {
      return new Plain(request, newAttempt, endpoint);
    }
  }

  /**
   * Refuses a request, which has not run.
   *
   * @param request the request
   * @param attempt the attempt number, from 1
   * @param reason the reason
   * @param retryAfterMillis the delay after which a retry may succeed
   */
  record Refused(RequestId request, int attempt, RefusalReason reason, long retryAfterMillis)
      implements PlacementDecision {
    @Override
    public Refused withAttempt(int newAttempt) {
      return new Refused(request, newAttempt, reason, retryAfterMillis);
    }
  }
}
