package org.knapweedcleat.router.node;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedcleat.core.audit.DocumentSource;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.router.document.DocumentKeeper;
import org.knapweedcleat.router.platform.PlatformClient;
import org.knapweedcleat.router.platform.PlatformWatch;
import org.knapweedcleat.router.platform.PublishedDocument;
import org.knapweedcleat.router.platform.PublishedValue;

/** Follows the document and the list of instances at the platform. */
final class PlatformReader {

  private final PlatformClient client;
  private final PlatformWatch<String> documents;
  private final PlatformWatch<List<ListedInstance>> lists;

  private PlatformReader(
      PlatformClient client,
      PlatformWatch<String> documents,
      PlatformWatch<List<ListedInstance>> lists) {
    this.client = client;
    this.documents = documents;
    this.lists = lists;
  }

  static PlatformReader create(
      Vertx vertx,
      NodeContext context,
      DocumentKeeper keeper,
      Consumer<PublishedValue<List<ListedInstance>>> onList) {
    InstanceSettings.Platform settings = context.settings().platform();
    PlatformClient client =
        PlatformClient.create(vertx, settings.host(), settings.port(), context.metrics());
    PublishedDocument document = PublishedDocument.of(client, settings.document());
    PlatformWatch.WatchTimes times = NodeTimes.watch(settings);
    return new PlatformReader(
        client,
        PlatformWatch.create(
            vertx,
            document::read,
            times,
            context.random()::nextLong,
            found -> keeper.offer(found.revision(), found.value(), DocumentSource.PLATFORM),
            keeper::confirmed),
        PlatformWatch.create(
            vertx, client::instances, times, context.random()::nextLong, onList, () -> {}));
  }

  void start() {
    documents.start();
    lists.start();
  }

  void setReader(boolean isReader) {
    documents.setReader(isReader);
    lists.setReader(isReader);
  }

  void close() {
    documents.close();
    lists.close();
    client.close();
  }
}
