package org.knapweedcleat.router.peer;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Handles messages and requests from other instances. */
public interface PeerMessageHandler {

  /**
   * Handles a message that expects no response.
   *
   * @param from the sender
   * @param message the message
   */
  void onMessage(IncarnationId from, PeerMessage message);

  /**
   * Handles a request.
   *
   * @param from the sender
   * @param request the request
   * @return the response; a failure closes the connection
   */
  Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage request);
}
