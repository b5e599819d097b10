package org.knapweedcleat.router.forward.throttle;

import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.throttle.PermitDecision;

/**
 * The answer to a {@link SendPermitQuery}.
 *
 * @param granted whether the request may be sent
 * @param delayMillis when it may be sent; if denied, how long until another request may be
 */
public record SendPermitReply(boolean granted, long delayMillis) implements PeerMessage {

  static SendPermitReply of(PermitDecision decision) {
    return new SendPermitReply(decision.granted(), decision.delayMillis());
  }

  PermitDecision decision() {
    return new PermitDecision(granted, delayMillis);
  }
}
