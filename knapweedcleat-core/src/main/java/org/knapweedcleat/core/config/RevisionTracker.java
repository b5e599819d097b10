package org.knapweedcleat.core.config;

import io.vavr.collection.Seq;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * Holds the document in force: a revision is applied whole or not at all, and never a lower one.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class RevisionTracker {

  private final InvariantMonitor monitor;
  private Optional<FleetSnapshot> current = Optional.empty();
  private Optional<RevisionOutcome.Rejected> lastRejected = Optional.empty();

  private RevisionTracker(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  /**
   * Returns a gate with nothing in force.
   *
   * @param monitor counts a revision that comes with two texts
   * @return the gate
   * @throws NullPointerException if the monitor is null
   */
  public static RevisionTracker of(InvariantMonitor monitor) {
    return new RevisionTracker(Objects.requireNonNull(monitor, "monitor"));
  }

  /**
   * Returns what is in force.
   *
   * @return empty until the first document was applied
   */
  public Optional<FleetSnapshot> current() {
    return current;
  }

  /**
   * Returns the revision in force.
   *
   * @return the revision, {@link Revision#NONE} until the first document was applied
   */
  public Revision revision() {
    return current.map(FleetSnapshot::revision).orElse(Revision.NONE);
  }

  /**
   * Offers a revision, from the platform or from a peer.
   *
   * @param revision its number, above 0
   * @param name the document's name, shown in faults
   * @param text the whole document
   * @return what became of it
   * @throws IllegalArgumentException if the revision is {@link Revision#NONE}
   */
  public RevisionOutcome offer(Revision revision, String name, String text) {
    if (!revision.isAfter(Revision.NONE)) {
      throw new IllegalArgumentException("a published revision is above 0");
    }
    if (revision().isAfter(revision)) {
      return new RevisionOutcome.Older(revision, revision());
    }
    String digest = Sha256.hexOf(text);
    if (revision.equals(revision())) {
      return compare(revision, current.orElseThrow().digest(), digest);
    }
    if (lastRejected.filter(rejected -> rejected.revision().equals(revision)).isPresent()) {
      return repeatRejection(digest);
    }
    return FleetDocumentParser.parse(name, text)
        .fold(
            faults -> reject(revision, digest, faults),
            document -> apply(new FleetSnapshot(revision, digest, document)));
  }

  private RevisionOutcome compare(Revision revision, String knownDigest, String digest) {
    boolean same = knownDigest.equals(digest);
    if (monitor.check(same, Invariant.REVISION_RISES, revision)) {
      return new RevisionOutcome.Unchanged(revision);
    }
    return new RevisionOutcome.Conflicting(revision, knownDigest, digest);
  }

  /** Answers for a revision that was rejected before without checking its text again. */
  private RevisionOutcome repeatRejection(String digest) {
    RevisionOutcome.Rejected rejected = lastRejected.orElseThrow();
    RevisionOutcome outcome = compare(rejected.revision(), rejected.digest(), digest);
    return outcome instanceof RevisionOutcome.Conflicting ? outcome : rejected;
  }

  private RevisionOutcome reject(Revision revision, String digest, Seq<ConfigFault> faults) {
    RevisionOutcome.Rejected rejected = new RevisionOutcome.Rejected(revision, digest, faults);
    lastRejected = Optional.of(rejected);
    return rejected;
  }

  private RevisionOutcome apply(FleetSnapshot snapshot) {
    Optional<FleetSnapshot> previous = current;
    current = Optional.of(snapshot);
    return new RevisionOutcome.Applied(snapshot, previous);
  }
}
