package org.knapweedcleat.router.gate;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Asks other instances. */
public interface InstanceClient {

  /**
   * Sends a question to one incarnation and waits for its answer.
   *
   * @param target the incarnation; a later run of the same instance does not get the question
   * @param question the question
   * @param timeoutMillis how long to wait
   * @return the answer; fails with {@link InstanceUnreachableException}
   */
  Uni<PeerMessage> ask(IncarnationId target, PeerMessage question, long timeoutMillis);

  /**
   * Finds the instance of the own failure domain that a name belongs to.
   *
   * @param name any name, such as an idempotency key with its client account
   * @return the live incarnation, which may be the own one; empty while none is known
   */
  Optional<IncarnationId> homeOfKey(String name);

  /**
   * Tells whether an incarnation is known to be alive, or is known to be over.
   *
   * @param incarnation the incarnation
   * @return true while it is a live member
   */
  boolean isAlive(IncarnationId incarnation);
}
