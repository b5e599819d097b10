package org.knapweedcleat.router.peer;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Carries messages to other instances. */
public interface PeerMessenger {

  /**
   * Sends a message to whichever incarnation runs at an address.
   *
   * @param address where to
   * @param message the message
   */
  void send(PeerAddress address, PeerMessage message);

  /**
   * Sends a message to one incarnation.
   *
   * @param address where to
   * @param target the only incarnation that shall get it
   * @param message the message
   */
  void send(PeerAddress address, IncarnationId target, PeerMessage message);

  /**
   * Asks one incarnation.
   *
   * @param address where to
   * @param target the only incarnation that shall get the question
   * @param question the question
   * @param timeoutMillis how long to wait for the answer
   * @return the answer; fails with {@link
   *     org.knapweedcleat.router.gate.InstanceUnreachableException}
   */
  Uni<PeerMessage> request(
      PeerAddress address, IncarnationId target, PeerMessage question, long timeoutMillis);
}
