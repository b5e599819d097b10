package org.knapweedcleat.router.placement;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Sends messages to schedulers on other instances. */
public interface SchedulerClient {

  /**
   * Sends a request to a scheduler and waits for its response.
   *
   * @param scheduler the incarnation that runs the scheduler
   * @param request the request
   * @param timeoutMillis the response timeout
   * @return the response; fails immediately if the connection breaks
   */
  Uni<PeerMessage> ask(IncarnationId scheduler, PeerMessage request, long timeoutMillis);

  /**
   * Sends a one-way message to a scheduler; it may be lost.
   *
   * @param scheduler the incarnation that runs the scheduler
   * @param message the message
   */
  void send(IncarnationId scheduler, PeerMessage message);
}
