package org.knapweedcleat.router.peer;

import io.smallrye.mutiny.Uni;
import java.util.Collection;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Sends messages and requests to other instances. */
public interface PeerMessenger {

  /**
   * Sends a message to whichever incarnation listens at an address.
   *
   * @param address the recipient's address
   * @param message the message
   */
  void send(PeerAddress address, PeerMessage message);

  /**
   * Sends a message to one incarnation.
   *
   * @param address the recipient's address
   * @param target the only incarnation that may receive it
   * @param message the message
   */
  void send(PeerAddress address, IncarnationId target, PeerMessage message);

  /**
   * Sends the same message to several instances, each in its known incarnation.
   *
   * @param recipients the recipients
   * @param message the message
   */
  default void sendToAll(Collection<FleetMember> recipients, PeerMessage message) {
    recipients.forEach(member -> send(PeerAddress.of(member), member.incarnation(), message));
  }

  /**
   * Sends a request to one incarnation.
   *
   * @param address the recipient's address
   * @param target the only incarnation that may receive the request
   * @param request the request
   * @param timeoutMillis how long to wait for the response
   * @return the response; fails with {@link
   *     org.knapweedcleat.router.gate.InstanceUnreachableException}
   */
  Uni<PeerMessage> request(
      PeerAddress address, IncarnationId target, PeerMessage request, long timeoutMillis);
}
