package org.knapweedcleat.router.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.audit.DocumentSource;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.peer.DocumentRequest;

class DocumentKeeperTest {

  private static final IncarnationId PEER = IncarnationId.of(InstanceId.of("b"), 1);

  private final MetricRegistry metrics = new MetricRegistry();
  private final List<AuditEvent> audit = new ArrayList<>();
  private final List<Revision> appliedRevisions = new ArrayList<>();
  private final DocumentKeeper keeper = newKeeper(appliedRevisions);

  @Test
  void ignoresOlderRevisionsAndRejectsInvalidDocuments() {
    keeper.offer(Revision.of(5), document("five"), DocumentSource.PLATFORM);
    keeper.offer(Revision.of(4), document("four"), DocumentSource.PLATFORM);
    keeper.offer(Revision.of(6), "[no such section]", DocumentSource.PEER);
    assertThat(keeper.revision(), is(Revision.of(5)));
    assertThat(appliedRevisions, contains(Revision.of(5)));
    assertThat(audit, hasSize(2));
    assertThat(audit.get(1).getClass(), is(AuditEvent.DocumentRejected.class));
  }

  @Test
  void fetchesLargeDocumentInParts() {
    String largeDocument = document("large") + "# padding\n".repeat(DocumentKeeper.PART_BYTES / 4);
    keeper.offer(Revision.of(7), largeDocument, DocumentSource.PLATFORM);
    List<Revision> fetchedRevisions = new ArrayList<>();
    DocumentKeeper otherKeeper = newKeeper(fetchedRevisions);
    List<DocumentRequest> requests = new ArrayList<>();
    PeerDocumentFetcher fetcher =
        PeerDocumentFetcher.of(
            otherKeeper,
            (peer, request) -> {
              requests.add(request);
              return Uni.createFrom().<PeerMessage>item(keeper.partFor(request));
            });
    fetcher.onRevisionAnnounced(PEER, Revision.of(7));
    assertThat(fetchedRevisions, contains(Revision.of(7)));
    assertThat(requests, hasSize(3));
    assertThat(otherKeeper.current().orElseThrow().digest(), is(keeper.current().get().digest()));
  }

  @Test
  void abandonsFetchWhenPeerHasAnotherRevision() {
    keeper.offer(Revision.of(7), document("seven"), DocumentSource.PLATFORM);
    List<Revision> fetchedRevisions = new ArrayList<>();
    PeerDocumentFetcher fetcher =
        PeerDocumentFetcher.of(
            newKeeper(fetchedRevisions),
            (peer, request) -> Uni.createFrom().<PeerMessage>item(keeper.partFor(request)));
    fetcher.onRevisionAnnounced(PEER, Revision.of(6));
    assertThat(fetchedRevisions, hasSize(0));
    fetcher.onRevisionAnnounced(PEER, Revision.of(7));
    assertThat(fetchedRevisions, contains(Revision.of(7)));
  }

  private DocumentKeeper newKeeper(List<Revision> revisions) {
    return DocumentKeeper.of(
        "fleet",
        InvariantMonitor.of(metrics),
        metrics,
        audit::add,
        () -> 0,
        outcome -> revisions.add(outcome.snapshot().revision()));
  }

  private static String document(String name) {
    return "[deployment "
        + name
        + "]\nteam = t\n[region r]\nteam = t\n[domain d]\nteam = t\n"
        + "region = r\n";
  }
}
