package org.knapweedcleat.router.node;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedcleat.core.audit.DocumentSource;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.router.document.DocumentKeeper;
import org.knapweedcleat.router.platform.PlatformClient;
import org.knapweedcleat.router.platform.PlatformWatcher;
import org.knapweedcleat.router.platform.PublishedDocumentReader;
import org.knapweedcleat.router.platform.PublishedValue;

/** Watches the document and the instance list that the platform publishes. */
final class PlatformReader {

  private final PlatformClient client;
  private final PlatformWatcher<String> documentWatcher;
  private final PlatformWatcher<List<ListedInstance>> instanceListWatcher;

  private PlatformReader(
      PlatformClient client,
      PlatformWatcher<String> documentWatcher,
      PlatformWatcher<List<ListedInstance>> instanceListWatcher) {
    this.client = client;
    this.documentWatcher = documentWatcher;
    this.instanceListWatcher = instanceListWatcher;
  }

  static PlatformReader create(
      Vertx vertx,
      NodeContext context,
      DocumentKeeper documentKeeper,
      Runnable onConfirmed,
      Consumer<List<ListedInstance>> onInstanceList) {
    InstanceSettings.Platform settings = context.settings().platform();
    PlatformClient client =
        PlatformClient.create(vertx, settings.host(), settings.port(), context.metrics());
    PublishedDocumentReader documentReader =
        PublishedDocumentReader.of(client, settings.document());
    PlatformWatcher.WatchTimings timings = NodeTimings.documentWatchTimings(settings);
    InstanceListRepeater listRepeater = new InstanceListRepeater(onInstanceList);
    return new PlatformReader(
        client,
        PlatformWatcher.create(
            vertx,
            documentReader::read,
            timings,
            context.random()::nextLong,
            published ->
                documentKeeper.offer(
                    published.revision(), published.value(), DocumentSource.PLATFORM),
            onConfirmed),
        PlatformWatcher.create(
            vertx,
            client::readInstances,
            NodeTimings.instanceListWatchTimings(context.settings().peers()),
            context.random()::nextLong,
            listRepeater::accept,
            listRepeater::confirm));
  }

  void start() {
    documentWatcher.start();
    instanceListWatcher.start();
  }

  /** Sets whether this instance long-polls; it does so for the list until it is listed itself. */
  void setReader(boolean isReader, boolean isListed) {
    documentWatcher.setReader(isReader);
    instanceListWatcher.setReader(isReader || !isListed);
  }

  void close() {
    documentWatcher.close();
    instanceListWatcher.close();
    client.close();
  }

  /** Delivers the last list again whenever the platform confirms that there is no newer one. */
  private static final class InstanceListRepeater {
    private final Consumer<List<ListedInstance>> onInstanceList;
    private Optional<List<ListedInstance>> last = Optional.empty();

    InstanceListRepeater(Consumer<List<ListedInstance>> onInstanceList) {
      this.onInstanceList = onInstanceList;
    }

    void accept(PublishedValue<List<ListedInstance>> published) {
      last = Optional.of(published.value());
      onInstanceList.accept(published.value());
    }

    void confirm() {
      last.ifPresent(onInstanceList);
    }
  }
}
