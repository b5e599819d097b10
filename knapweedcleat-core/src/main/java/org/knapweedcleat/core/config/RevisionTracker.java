package org.knapweedcleat.core.config;

import io.vavr.collection.Seq;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/**
 * Holds the active document and replaces it only with valid documents of a higher revision.
 *
 * <p>Not thread-safe.
 */
public final class RevisionTracker {

  private final InvariantMonitor monitor;
  private Optional<FleetSnapshot> current = Optional.empty();
  private Optional<RevisionOutcome.Rejected> lastRejected = Optional.empty();

  private RevisionTracker(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  /**
   * Creates a tracker without an active document.
   *
   * @param monitor counts revisions that are offered with differing texts
   * @return the tracker
   * @throws NullPointerException if the monitor is null
   */
  public static RevisionTracker of(InvariantMonitor monitor) {
    return new RevisionTracker(Objects.requireNonNull(monitor, "monitor"));
  }

  /**
   * Returns the active document.
   *
   * @return the snapshot, empty until a document has been applied
   */
  public Optional<FleetSnapshot> current() {
    return current;
  }

  /**
   * Returns the active revision.
   *
   * @return the revision, {@link Revision#NONE} until a document has been applied
   */
  public Revision revision() {
    return current.map(FleetSnapshot::revision).orElse(Revision.NONE);
  }

  /**
   * Offers a revision received from the platform or a peer.
   *
   * @param revision the revision number, above 0
   * @param name the document name to show in faults
   * @param text the complete document text
   * @return the outcome
   * @throws IllegalArgumentException if the revision is {@link Revision#NONE}
   */
  public RevisionOutcome offer(Revision revision, String name, String text) {
    if (!revision.isAfter(Revision.NONE)) {
      throw new IllegalArgumentException("a published revision must be above 0");
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

  /** Returns the outcome for a previously rejected revision without parsing its text again. */
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
