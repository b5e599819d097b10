package org.knapweedcleat.router.peer;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Takes what other instances send. */
public interface PeerMessageHandler {

  /**
   * Takes a message that wants no answer.
   *
   * @param from the sender
   * @param message the message
   */
  void onMessage(IncarnationId from, PeerMessage message);

  /**
   * Answers a question.
   *
   * @param from the sender
   * @param question the question
   * @return the answer; a failure closes the connection
   */
  Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage question);
}
