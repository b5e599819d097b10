package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.id.IncarnationId;

/** Receives what coordinators decide about a stream that they have queued. */
@FunctionalInterface
public interface AdmissionListener {

  /**
   * Handles a decision.
   *
   * @param from the coordinator
   * @param reply what was decided
   * @return whether capacity that the coordinator has reserved is in use; false to release it
   */
  boolean onNotice(IncarnationId from, StreamAdmissionReply reply);
}
