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
import org.knapweedcleat.core.config.RevisionOutcome;
import org.knapweedcleat.core.config.RevisionTracker;
import org.knapweedcleat.core.config.diff.DocumentDiff;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;
import org.knapweedcleat.router.peer.DocumentPart;
import org.knapweedcleat.router.peer.DocumentRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the document in force and serves it to other instances. */
public final class DocumentKeeper implements FleetSnapshotProvider {

  /** The maximum number of document bytes in one message. */
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
   * Returns a keeper without a document.
   *
   * @param name the name under which the platform publishes the document
   * @param monitor counts invariant violations
   * @param metrics counts offered documents by outcome
   * @param audit the audit trail for document and key changes
   * @param nowMillis the monotonic clock
   * @param listener is notified of each document that comes into force
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
   * @return the revision, {@link Revision#NONE} until the first document has been applied
   */
  public Revision revision() {
    return revisionTracker.revision();
  }

  /**
   * Records that the platform confirmed the document in force some time ago.
   *
   * @param ageMillis the time since the confirmation, at least 0
   */
  public void onConfirmed(long ageMillis) {
    lastConfirmedMillis = Math.max(lastConfirmedMillis, nowMillis.getAsLong() - ageMillis);
  }

  /**
   * Offers a document, which is applied if it is valid and its revision is newer.
   *
   * @param revision the revision of the document
   * @param documentText the complete text of the document
   * @param source the source of the document
   */
  public void offer(Revision revision, String documentText, DocumentSource source) {
    RevisionOutcome outcome = revisionTracker.offer(revision, name, documentText);
    String outcomeName = outcome.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    metrics.counter("document.offers." + outcomeName).inc();
    if (outcome instanceof RevisionOutcome.Applied applied) {
      documentBytes = documentText.getBytes(StandardCharsets.UTF_8);
      onApplied(applied, source);
    } else if (outcome instanceof RevisionOutcome.Rejected rejected) {
      onRejected(rejected);
    }
  }

  /**
   * Returns a part of the document in force for another instance.
   *
   * @param request the revision and offset of the part
   * @return the part, empty if another revision is in force
   */
  public DocumentPart partFor(DocumentRequest request) {
    int fromByte = request.offsetBytes();
    if (!request.revision().equals(revision()) || fromByte < 0 || fromByte > documentBytes.length) {
      return new DocumentPart(revision(), fromByte, documentBytes.length, new byte[0]);
    }
    int toByte = Math.min(documentBytes.length, fromByte + PART_BYTES);
    return new DocumentPart(
        revision(),
        fromByte,
        documentBytes.length,
        Arrays.copyOfRange(documentBytes, fromByte, toByte));
  }

  private void onApplied(RevisionOutcome.Applied applied, DocumentSource source) {
    FleetSnapshot snapshot = applied.snapshot();
    List<String> sections =
        applied
            .previous()
            .map(
                previousSnapshot ->
                    DocumentDiff.between(previousSnapshot.document(), snapshot.document())
                        .sections()
                        .toJavaList())
            .orElse(List.of());
    audit.record(
        new AuditEvent.DocumentApplied(snapshot.revision(), snapshot.digest(), sections, source));
    applied.previous().ifPresent(previousSnapshot -> recordAddedKeys(previousSnapshot, snapshot));
    LOG.info("document revision {} in force", snapshot.revision());
    listener.onApplied(applied);
  }

  /** Records added API keys; the keys of the first document do not count as added. */
  private void recordAddedKeys(FleetSnapshot previousSnapshot, FleetSnapshot snapshot) {
    KeyRegistry previousKeys = KeyRegistry.of(previousSnapshot.document());
    KeyRegistry.of(snapshot.document()).addedSince(previousKeys).forEach(this::recordAddedKey);
  }

  private void recordAddedKey(KeyIdentity key) {
    audit.record(new AuditEvent.KeyGiven(key.keyName(), key.account()));
  }

  private void onRejected(RevisionOutcome.Rejected rejected) {
    List<String> faults = rejected.faults().map(ConfigFault::toString).toJavaList();
    audit.record(new AuditEvent.DocumentRejected(rejected.revision(), rejected.digest(), faults));
    LOG.warn("document revision {} is invalid and was not applied", rejected.revision());
  }
}
