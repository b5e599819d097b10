package org.knapweedcleat.router.platform;

import io.vavr.collection.Seq;
import io.vertx.core.Future;
import java.util.Objects;
import java.util.Optional;
import org.knapweedcleat.core.config.DocumentPartAssembler;
import org.knapweedcleat.core.config.PartOutcome;
import org.knapweedcleat.core.id.Revision;

/** Reads the published document, either whole or from the parts listed in a manifest. */
public final class PublishedDocumentReader {

  private final PlatformClient client;
  private final String name;

  private PublishedDocumentReader(PlatformClient client, String name) {
    this.client = client;
    this.name = name;
  }

  /**
   * Returns a reader of a document.
   *
   * @param client the platform client
   * @param name the name under which the document is published
   * @return the reader
   */
  public static PublishedDocumentReader of(PlatformClient client, String name) {
    Objects.requireNonNull(client, "client");
    return new PublishedDocumentReader(client, Objects.requireNonNull(name, "name"));
  }

  /**
   * Reads the document if it is newer than a revision.
   *
   * @param after the latest known revision
   * @param waitMillis how long the platform may wait for a newer one
   * @return the complete text with the revision of the document or its manifest, empty if there is
   *     no newer one; fails with {@link PlatformException}
   */
  public Future<Optional<PublishedValue<String>>> read(Revision after, long waitMillis) {
    return client.readValue(name, after, waitMillis).compose(this::assemble);
  }

  private Future<Optional<PublishedValue<String>>> assemble(
      Optional<PublishedValue<String>> published) {
    if (published.filter(value -> DocumentPartAssembler.isManifest(value.value())).isEmpty()) {
      return Future.succeededFuture(published);
    }
    PublishedValue<String> manifest = published.get();
    return DocumentPartAssembler.of(name, manifest.value())
        .<Future<String>>fold(
            faults -> Future.failedFuture(PlatformException.of(PlatformFault.BAD_ANSWER)),
            assembler -> readParts(assembler, assembler.missingDigests()))
        .map(text -> Optional.of(new PublishedValue<>(manifest.revision(), text)));
  }

  private Future<String> readParts(DocumentPartAssembler assembler, Seq<String> missing) {
    if (missing.isEmpty()) {
      return Future.succeededFuture(assembler.text().get());
    }
    String digest = missing.head();
    return client
        .readValue(DocumentPartAssembler.valueName(name, digest), Revision.NONE, 0)
        .compose(part -> addPart(assembler, digest, part))
        .compose(added -> readParts(assembler, missing.tail()));
  }

  private static Future<Void> addPart(
      DocumentPartAssembler assembler, String digest, Optional<PublishedValue<String>> part) {
    boolean accepted =
        part.filter(published -> assembler.add(digest, published.value()) == PartOutcome.ACCEPTED)
            .isPresent();
    return accepted
        ? Future.succeededFuture()
        : Future.failedFuture(PlatformException.of(PlatformFault.BAD_ANSWER));
  }
}
