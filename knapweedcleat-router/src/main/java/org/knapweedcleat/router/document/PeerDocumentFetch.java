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

/** Brings a document over from an instance that announced a higher revision; one at a time. */
public final class PeerDocumentFetch {

  private final DocumentKeeper keeper;
  private final BiFunction<IncarnationId, DocumentRequest, Uni<PeerMessage>> ask;
  private Revision wanted = Revision.NONE;
  private Buffer collected = Buffer.buffer();
  private boolean busy;

  private PeerDocumentFetch(
      DocumentKeeper keeper, BiFunction<IncarnationId, DocumentRequest, Uni<PeerMessage>> ask) {
    this.keeper = Objects.requireNonNull(keeper, "keeper");
    this.ask = Objects.requireNonNull(ask, "ask");
  }

  /**
   * Returns a fetch that has not begun.
   *
   * @param keeper takes the document
   * @param ask asks an instance for a part
   * @return the fetch
   */
  public static PeerDocumentFetch of(
      DocumentKeeper keeper, BiFunction<IncarnationId, DocumentRequest, Uni<PeerMessage>> ask) {
    return new PeerDocumentFetch(keeper, ask);
  }

  /**
   * Takes note of the revision that an instance announces, and brings it over if it is higher.
   *
   * @param peer who announces
   * @param revision what it has in force
   */
  public void announced(IncarnationId peer, Revision revision) {
    if (busy || !revision.isAfter(keeper.revision())) {
      return;
    }
    busy = true;
    wanted = revision;
    collected = Buffer.buffer();
    next(peer);
  }

  private void next(IncarnationId peer) {
    DocumentRequest request = new DocumentRequest(wanted, collected.length());
    ask.apply(peer, request)
        .subscribe()
        .with(answer -> onAnswer(peer, answer), failure -> busy = false);
  }

  private void onAnswer(IncarnationId peer, PeerMessage answer) {
    if (!(answer instanceof DocumentPart part) || !isNext(part)) {
      busy = false;
      return;
    }
    collected.appendBytes(part.bytes());
    if (collected.length() < part.totalBytes()) {
      next(peer);
      return;
    }
    busy = false;
    keeper.offer(wanted, collected.toString(StandardCharsets.UTF_8), DocumentSource.PEER);
  }

  private boolean isNext(DocumentPart part) {
    return part.revision().equals(wanted)
        && part.offsetBytes() == collected.length()
        && part.bytes().length > 0;
  }
}
