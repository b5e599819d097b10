package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Says where a stream may run.
 *
 * @param prefillEngine the engine that reads its prompt; empty if the other one does
 * @param decodeEngine the engine that runs it; empty if none has room
 * @param firstEventMillis when its first event may be expected
 */
public record StreamPlacementReply(
    String prefillEngine, String decodeEngine, double firstEventMillis) implements PeerMessage {

  static final StreamPlacementReply NO_CAPACITY = new StreamPlacementReply("", "", 0);

  /**
   * Tells whether an engine has room.
   *
   * @return false if none has
   */
  public boolean hasCapacity() {
    return !decodeEngine.isEmpty();
  }
}
