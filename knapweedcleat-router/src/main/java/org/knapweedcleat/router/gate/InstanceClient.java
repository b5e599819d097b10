package org.knapweedcleat.router.gate;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;

/** Sends requests to other instances. */
public interface InstanceClient {

  /**
   * Sends a request to an incarnation and waits for its reply.
   *
   * @param target the incarnation; later incarnations of its instance do not get the request
   * @param request the request
   * @param timeoutMillis the time limit for the reply
   * @return the reply; fails with {@link InstanceUnreachableException}
   */
  Uni<PeerMessage> ask(IncarnationId target, PeerMessage request, long timeoutMillis);

  /**
   * Finds the home instance of a key, in the local failure domain.
   *
   * @param key the key, such as an idempotency key prefixed with its client account
   * @return the live incarnation, possibly the local one; empty if none is known
   */
  Optional<IncarnationId> homeOfKey(String key);

  /**
   * Returns whether an incarnation is a live member of the fleet.
   *
   * @param incarnation the incarnation
   * @return true if it is live
   */
  boolean isAlive(IncarnationId incarnation);
}
