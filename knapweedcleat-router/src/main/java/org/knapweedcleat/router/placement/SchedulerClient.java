package org.knapweedcleat.router.placement;

import io.smallrye.mutiny.Uni;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Reaches the schedulers on other instances. */
public interface SchedulerClient {

  /**
   * Asks a scheduler.
   *
   * @param scheduler the incarnation that runs it
   * @param question the question
   * @param timeoutMillis how long to wait
   * @return the answer; fails at once when the connection breaks
   */
  Uni<PeerMessage> ask(IncarnationId scheduler, PeerMessage question, long timeoutMillis);

  /**
   * Tells a scheduler something; the message may be lost.
   *
   * @param scheduler the incarnation that runs it
   * @param message the message
   */
  void send(IncarnationId scheduler, PeerMessage message);
}
