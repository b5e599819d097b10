package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * A coordinator's answer to a {@link StreamPlacementQuery}.
 *
 * @param prefillEngine the engine that processes the prompt; empty if the decode engine does
 * @param decodeEngine the engine that generates the response; empty if none has capacity
 * @param firstEventMillis the expected time to the first event
 */
public record StreamPlacementReply(
    String prefillEngine, String decodeEngine, double firstEventMillis) implements PeerMessage {

  static final StreamPlacementReply NO_CAPACITY = new StreamPlacementReply("", "", 0);

  static StreamPlacementReply of(StreamPlacement placement) {
    return new StreamPlacementReply(
        placement.prefill().map(engine -> engine.id().value()).orElse(""),
        placement.decode().id().value(),
        placement.expectedFirstEventMillis());
  }

  /**
   * Tells whether the stream was placed.
   *
   * @return false if no engine has capacity
   */
  public boolean hasCapacity() {
    return !decodeEngine.isEmpty();
  }
}
