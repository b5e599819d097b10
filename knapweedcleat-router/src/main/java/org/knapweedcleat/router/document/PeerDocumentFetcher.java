package org.knapweedcleat.router.document;

import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.BiFunction;
import org.knapweedcleat.core.audit.DocumentSource;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.peer.DocumentPart;
import org.knapweedcleat.router.peer.DocumentRequest;

/** Fetches a document in parts from a peer that announced a higher revision, one at a time. */
public final class PeerDocumentFetcher {

  private final DocumentKeeper keeper;
  private final BiFunction<IncarnationId, DocumentRequest, Uni<PeerMessage>> requestPart;
  private Revision targetRevision = Revision.NONE;
  private Buffer received = Buffer.buffer();
  private boolean fetching;

  private PeerDocumentFetcher(
      DocumentKeeper keeper, BiFunction<IncarnationId, DocumentRequest, Uni<PeerMessage>> ask) {
    this.keeper = Objects.requireNonNull(keeper, "keeper");
    this.requestPart = Objects.requireNonNull(ask, "ask");
  }

  /**
   * Returns an idle fetcher.
   *
   * @param keeper receives the document
   * @param ask requests a part from an instance
   * @return the fetcher
   */
  public static PeerDocumentFetcher of(
      DocumentKeeper keeper, BiFunction<IncarnationId, DocumentRequest, Uni<PeerMessage>> ask) {
    return new PeerDocumentFetcher(keeper, ask);
  }

  /**
   * Handles the announcement of a revision and fetches its document if it is higher than the local
   * one, unless a fetch is already running.
   *
   * @param peer the announcing instance
   * @param revision the revision that the peer has in force
   */
  public void onRevisionAnnounced(IncarnationId peer, Revision revision) {
    if (fetching || !revision.isAfter(keeper.revision())) {
      return;
    }
    fetching = true;
    targetRevision = revision;
    received = Buffer.buffer();
    requestNextPart(peer);
  }

  private void requestNextPart(IncarnationId peer) {
    DocumentRequest request = new DocumentRequest(targetRevision, received.length());
    requestPart
        .apply(peer, request)
        .subscribe()
        .with(response -> onResponse(peer, response), failure -> fetching = false);
  }

  private void onResponse(IncarnationId peer, PeerMessage response) {
    if (!(response instanceof DocumentPart part) || !isExpectedPart(part)) {
      fetching = false;
      return;
    }
    received.appendBytes(part.bytes());
    if (received.length() < part.totalBytes()) {
      requestNextPart(peer);
      return;
    }
    fetching = false;
    keeper.offer(targetRevision, received.toString(StandardCharsets.UTF_8), DocumentSource.PEER);
  }

  private boolean isExpectedPart(DocumentPart part) {
    return part.revision().equals(targetRevision)
        && part.offsetBytes() == received.length()
        && part.bytes().length > 0;
  }
}
