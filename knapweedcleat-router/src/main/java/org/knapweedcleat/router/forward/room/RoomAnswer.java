package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Says where a stream may run.
 *
 * @param reader the engine that reads its prompt; empty if the other one does
 * @param engine the engine that runs it; empty if none has room
 * @param firstEventMillis when its first event may be expected
 */
public record RoomAnswer(String reader, String engine, double firstEventMillis)
    implements PeerMessage {

  static final RoomAnswer NO_ROOM = new RoomAnswer("", "", 0);

  /**
   * Tells whether an engine has room.
   *
   * @return false if none has
   */
  public boolean hasRoom() {
    return !engine.isEmpty();
  }
}
