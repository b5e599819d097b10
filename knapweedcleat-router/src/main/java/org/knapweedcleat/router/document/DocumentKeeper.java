package org.knapweedcleat.router.document;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.audit.AuditTrail;
import org.knapweedcleat.core.audit.DocumentSource;
import org.knapweedcleat.core.config.ConfigFault;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.RevisionTracker;
import org.knapweedcleat.core.config.RevisionOutcome;
import org.knapweedcleat.core.config.diff.DocumentDiff;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;
import org.knapweedcleat.router.peer.DocumentPart;
import org.knapweedcleat.router.peer.DocumentRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the document in force and hands it on to other instances. */
public final class DocumentKeeper implements FleetSnapshotProvider {

  /** The most bytes of a document that one message carries. */
  public static final int PART_BYTES = 256 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(DocumentKeeper.class);

  private final String name;
  private final RevisionTracker revisionTracker;
  private final MetricRegistry metrics;
  private final AuditTrail audit;
  private final LongSupplier nowMillis;
  private final DocumentListener listener;
  private byte[] documentBytes = new byte[0];
  private long lastConfirmedMillis;

  private DocumentKeeper(
      String name,
      InvariantMonitor monitor,
      MetricRegistry metrics,
      AuditTrail audit,
      LongSupplier nowMillis,
      DocumentListener listener) {
    this.name = Objects.requireNonNull(name, "name");
    this.revisionTracker = RevisionTracker.of(monitor);
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.audit = Objects.requireNonNull(audit, "audit");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /**
   * Returns a keeper with nothing in force.
   *
   * @param name the document's name at the platform
   * @param monitor counts violations of invariants
   * @param metrics counts what was offered
   * @param audit takes the changes
   * @param nowMillis the monotonic clock
   * @param listener hears of each document that comes into force
   * @return the keeper
   */
  public static DocumentKeeper of(
      String name,
      InvariantMonitor monitor,
      MetricRegistry metrics,
      AuditTrail audit,
      LongSupplier nowMillis,
      DocumentListener listener) {
    return new DocumentKeeper(name, monitor, metrics, audit, nowMillis, listener);
  }

  @Override
  public Optional<FleetSnapshot> current() {
    return revisionTracker.current();
  }

  @Override
  public long unconfirmedMillis() {
    return nowMillis.getAsLong() - lastConfirmedMillis;
  }

  /**
   * Returns the revision in force.
   *
   * @return the revision, {@link Revision#NONE} until the first document was applied
   */
  public Revision revision() {
    return revisionTracker.revision();
  }

  /**
   * Takes note that the platform vouched for the document some time ago.
   *
   * @param ageMillis how long ago, at least 0
   */
  public void onConfirmed(long ageMillis) {
    lastConfirmedMillis = Math.max(lastConfirmedMillis, nowMillis.getAsLong() - ageMillis);
  }

  /**
   * Offers a document.
   *
   * @param revision its revision
   * @param document its whole text
   * @param source where it came from
   */
  public void offer(Revision revision, String document, DocumentSource source) {
    RevisionOutcome outcome = revisionTracker.offer(revision, name, document);
    String kind = outcome.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    metrics.counter("document.offers." + kind).inc();
    if (outcome instanceof RevisionOutcome.Applied applied) {
      documentBytes = document.getBytes(StandardCharsets.UTF_8);
      onApplied(applied, source);
    } else if (outcome instanceof RevisionOutcome.Rejected rejected) {
      onRejected(rejected);
    }
  }

  /**
   * Answers another instance that wants a part of the document in force.
   *
   * @param request which part
   * @return the part, empty if another revision is in force
   */
  public DocumentPart partFor(DocumentRequest request) {
    int from = request.offsetBytes();
    if (!request.revision().equals(revision()) || from < 0 || from > documentBytes.length) {
      return new DocumentPart(revision(), from, documentBytes.length, new byte[0]);
    }
    int to = Math.min(documentBytes.length, from + PART_BYTES);
    return new DocumentPart(revision(), from, documentBytes.length, Arrays.copyOfRange(documentBytes, from, to));
  }

  private void onApplied(RevisionOutcome.Applied applied, DocumentSource source) {
    FleetSnapshot snapshot = applied.snapshot();
    List<String> sections =
        applied
            .previous()
            .map(
                old ->
                    DocumentDiff.between(old.document(), snapshot.document())
                        .sections()
                        .toJavaList())
            .orElse(List.of());
    audit.record(
        new AuditEvent.DocumentApplied(snapshot.revision(), snapshot.digest(), sections, source));
    applied.previous().ifPresent(old -> recordAddedKeys(old, snapshot));
    LOG.info("document revision {} in force", snapshot.revision());
    listener.onApplied(applied);
  }

  /** Records the keys that a change brought; those of the first document are no change. */
  private void recordAddedKeys(FleetSnapshot old, FleetSnapshot snapshot) {
    KeyRegistry before = KeyRegistry.of(old.document());
    KeyRegistry.of(snapshot.document()).addedSince(before).forEach(this::recordAddedKey);
  }

  private void recordAddedKey(KeyIdentity key) {
    audit.record(new AuditEvent.KeyGiven(key.keyName(), key.account()));
  }

  private void onRejected(RevisionOutcome.Rejected rejected) {
    List<String> faults = rejected.faults().map(ConfigFault::toString).toJavaList();
    audit.record(new AuditEvent.DocumentRejected(rejected.revision(), rejected.digest(), faults));
    LOG.warn("document revision {} does not check and is left out", rejected.revision());
  }
}
