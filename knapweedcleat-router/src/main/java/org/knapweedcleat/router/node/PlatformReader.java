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
      Runnable onConfirmed,
      Consumer<List<ListedInstance>> onList) {
    InstanceSettings.Platform settings = context.settings().platform();
    PlatformClient client =
        PlatformClient.create(vertx, settings.host(), settings.port(), context.metrics());
    PublishedDocument document = PublishedDocument.of(client, settings.document());
    PlatformWatch.WatchTimes times = NodeTimes.watch(settings);
    ConfirmedList list = new ConfirmedList(onList);
    return new PlatformReader(
        client,
        PlatformWatch.create(
            vertx,
            document::read,
            times,
            context.random()::nextLong,
            found -> keeper.offer(found.revision(), found.value(), DocumentSource.PLATFORM),
            onConfirmed),
        PlatformWatch.create(
            vertx,
            client::instances,
            NodeTimes.listWatch(context.settings().peers()),
            context.random()::nextLong,
            list::take,
            list::confirm));
  }

  void start() {
    documents.start();
    lists.start();
  }

  /** Takes over whether the instance has the duty to read; the list is read until it is listed. */
  void setDuty(boolean isReader, boolean isListed) {
    documents.setReader(isReader);
    lists.setReader(isReader || !isListed);
  }

  void close() {
    documents.close();
    lists.close();
    client.close();
  }

  /** Hands the last list on again whenever the platform confirms that there is no newer one. */
  private static final class ConfirmedList {
    private final Consumer<List<ListedInstance>> onList;
    private Optional<List<ListedInstance>> last = Optional.empty();

    ConfirmedList(Consumer<List<ListedInstance>> onList) {
      this.onList = onList;
    }

    void take(PublishedValue<List<ListedInstance>> list) {
      last = Optional.of(list.value());
      onList.accept(list.value());
    }

    void confirm() {
      last.ifPresent(onList);
    }
  }
}
