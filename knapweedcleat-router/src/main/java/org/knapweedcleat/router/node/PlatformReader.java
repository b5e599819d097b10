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

/** Follows the document and the list of instances at the platform. */
final class PlatformReader {

  private final PlatformClient client;
  private final PlatformWatcher<String> documentWatcher;
  private final PlatformWatcher<List<ListedInstance>> instanceListWatcher;

  private PlatformReader(
      PlatformClient client,
      PlatformWatcher<String> documents,
      PlatformWatcher<List<ListedInstance>> lists) {
    this.client = client;
    this.documentWatcher = documents;
    this.instanceListWatcher = lists;
  }

  static PlatformReader create(
      Vertx vertx,
      NodeContext context,
      DocumentKeeper keeper,
      Runnable onConfirmed,
      Consumer<List<ListedInstance>> onList) {
    InstanceSettings.Platform settings = context.settings().platform();
    PlatformClient client =
        PlatformClient.create(vertx, settings.host(), settings.port(), context.metrics());
    PublishedDocumentReader document = PublishedDocumentReader.of(client, settings.document());
    PlatformWatcher.WatchTimings times = NodeTimings.documentWatchTimings(settings);
    InstanceListRepeater list = new InstanceListRepeater(onList);
    return new PlatformReader(
        client,
        PlatformWatcher.create(
            vertx,
            document::read,
            times,
            context.random()::nextLong,
            found -> keeper.offer(found.revision(), found.value(), DocumentSource.PLATFORM),
            onConfirmed),
        PlatformWatcher.create(
            vertx,
            client::readInstances,
            NodeTimings.instanceListWatchTimings(context.settings().peers()),
            context.random()::nextLong,
            list::accept,
            list::confirm));
  }

  void start() {
    documentWatcher.start();
    instanceListWatcher.start();
  }

  /** Takes over whether the instance has the duty to read; the list is read until it is listed. */
  void setReader(boolean isReader, boolean isListed) {
    documentWatcher.setReader(isReader);
    instanceListWatcher.setReader(isReader || !isListed);
  }

  void close() {
    documentWatcher.close();
    instanceListWatcher.close();
    client.close();
  }

  /** Hands the last list on again whenever the platform confirms that there is no newer one. */
  private static final class InstanceListRepeater {
    private final Consumer<List<ListedInstance>> onList;
    private Optional<List<ListedInstance>> last = Optional.empty();

    InstanceListRepeater(Consumer<List<ListedInstance>> onList) {
      this.onList = onList;
    }

    void accept(PublishedValue<List<ListedInstance>> list) {
      last = Optional.of(list.value());
      onList.accept(list.value());
    }

    void confirm() {
      last.ifPresent(onList);
    }
  }
}
