package org.knapweedcleat.core.schedule;

import java.util.List;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Tells a scheduler which requests an incarnation still serves, so that the memory of all others
 * can be released.
 *
 * @param owner the incarnation
 * @param running the requests, complete
 */
public record RunningClaims(IncarnationId owner, List<RequestId> running) implements PeerMessage {

  /** Copies the list. */
  public RunningClaims {
    running = List.copyOf(running);
  }
}
