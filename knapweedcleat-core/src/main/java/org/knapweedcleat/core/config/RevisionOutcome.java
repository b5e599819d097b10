package org.knapweedcleat.core.config;

import io.vavr.collection.Seq;
import java.util.Optional;
import org.knapweedcleat.core.id.Revision;

/** Outcome of offering a revision of the document. */
public sealed interface RevisionOutcome {

  /**
   * The revision was applied.
   *
   * @param snapshot the active document
   * @param previous the document that was active before, if any
   */
  record Applied(FleetSnapshot snapshot, Optional<FleetSnapshot> previous)
      implements RevisionOutcome {}

  /**
   * The revision was already active.
   *
   * @param revision the revision
   */
  record Unchanged(Revision revision) implements RevisionOutcome {}

  /**
   * The revision is older than the active one and was ignored.
   *
   * @param offered the revision that was offered
   * @param inForce the revision that stays active
   */
  record Older(Revision offered, Revision inForce) implements RevisionOutcome {}

  /**
   * The revision number is known with a different text; the known text is kept.
   *
   * @param revision the revision
   * @param knownDigest the digest of the known text
   * @param offeredDigest the digest of the offered text
   */
  record Conflicting(Revision revision, String knownDigest, String offeredDigest)
      implements RevisionOutcome {}

  /**
   * The revision is invalid; the active document is kept.
   *
   * @param revision the revision
   * @param digest the digest of its text
   * @param faults the faults of the document
   */
  record Rejected(Revision revision, String digest, Seq<ConfigFault> faults)
      implements RevisionOutcome {}
}
