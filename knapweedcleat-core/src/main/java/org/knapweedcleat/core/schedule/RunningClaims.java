package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a scheduler which requests the sender still serves, so that the memory of all others can be
 * released.
 *
 * @param running the requests, complete
 */
public record RunningClaims(List<RequestId> running) implements PeerMessage {

  /** Copies the list. */
  public RunningClaims {
    running = List.copyOf(running);
  }
}
