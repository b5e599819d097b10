package org.knapweedcleat.core.config;

import io.vavr.collection.Seq;
import java.util.Optional;
import org.knapweedcleat.core.id.Revision;

/** What became of an offered revision. */
public sealed interface RevisionOutcome {

  /**
   * It is in force now.
   *
   * @param snapshot what is in force
   * @param previous what was in force before
   */
  record Applied(FleetSnapshot snapshot, Optional<FleetSnapshot> previous)
      implements RevisionOutcome {}

  /**
   * It was in force already.
   *
   * @param revision the revision
   */
  record Unchanged(Revision revision) implements RevisionOutcome {}

  /**
   * It is older than what is in force and was left out.
   *
   * @param offered the revision that was offered
   * @param inForce the revision that stays
   */
  record Older(Revision offered, Revision inForce) implements RevisionOutcome {}

  /**
   * It has the number of a known revision and another text; the known one stays.
   *
   * @param revision the revision
   * @param knownDigest the digest of the known text
   * @param offeredDigest the digest of the offered text
   */
  record Conflicting(Revision revision, String knownDigest, String offeredDigest)
      implements RevisionOutcome {}

  /**
   * It does not check; what was in force stays.
   *
   * @param revision the revision
   * @param digest the digest of its text
   * @param faults what is wrong with it
   */
  record Rejected(Revision revision, String digest, Seq<ConfigFault> faults)
      implements RevisionOutcome {}
}
