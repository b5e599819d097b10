package org.knapweedcleat.router.forward.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.directory.EndpointDirectory;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.store.PublishedDirectory;
import org.knapweedcleat.router.forward.store.StoreWatch;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerCarrier;

/** Learns from other instances what is published, and tells them. */
final class DirectoryExchange {

  /** How long a question may take; a configuration can be a megabyte long. */
  private static final long ASK_MILLIS = 1_000;

  /** The pause between questions, longer than an answer from another region takes. */
  private static final long PAUSE_MILLIS = 200;

  /** An instance that reads the store asks others when the store has said nothing for so long. */
  private static final long STORE_SILENT_MILLIS = 1_500;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final PublishedDirectory directory;
  private final DecisionLog log;
  private long askedAtMillis = NEVER_MILLIS;
  private boolean asking;
  private int wantedHash;
  private boolean asksAll;

  DirectoryExchange(PublishedDirectory directory, DecisionLog log) {
    this.directory = directory;
    this.log = log;
  }

  long configVersion() {
    return directory.config().map(RoutingConfig::version).orElse(-1L);
  }

  long endpointsRevision() {
    return directory.isKnown() ? directory.endpoints().revision() : -1;
  }

  int endpointsHash() {
    return directory.endpoints().contentHash();
  }

  /**
   * Asks the sender of news for what it knows more of.
   *
   * @param nowMillis the time
   * @param news the news
   * @param reads whether this instance reads the store itself
   * @param address where the sender listens
   * @param carrier carries the question
   */
  void askIfBehind(
      long nowMillis, FleetNews news, boolean reads, PeerAddress address, PeerCarrier carrier) {
    boolean config = news.configVersion() > configVersion();
    boolean endpoints = reads ? isCutOffAndBehind(news) : differs(news);
    if ((!config && !endpoints) || asking || nowMillis - askedAtMillis < PAUSE_MILLIS) {
      return;
    }
    askedAtMillis = nowMillis;
    asking = true;
    wantedHash = news.endpointsHash();
    long since = asksAll ? -1 : endpointsRevision();
    IncarnationId from = news.sender().incarnation();
    carrier
        .ask(
            address,
            from,
            new DirectoryQuestion(configVersion(), endpoints ? since : Long.MAX_VALUE),
            ASK_MILLIS)
        .subscribe()
        .with(
            this::learn,
            failure -> {
              asking = false;
              log.stateChange("peer.unanswered", "peer", from, "why", failure.getMessage());
            });
  }

  /** Answers a question with what has changed since the asker's revision. */
  DirectoryAnswer answer(DirectoryQuestion asked) {
    List<RoutingContent> config = new ArrayList<>();
    directory
        .config()
        .filter(own -> own.version() > asked.configVersion())
        .ifPresent(own -> config.add(own.content()));
    if (endpointsRevision() < asked.endpointsRevision()) {
      return new DirectoryAnswer(config, List.of(), List.of(), -1);
    }
    EndpointDirectory endpoints = directory.endpoints();
    List<DirectoryAnswer.Known> changed = new ArrayList<>();
    endpoints
        .changedSince(asked.endpointsRevision())
        .forEach((entry, revision) -> changed.add(new DirectoryAnswer.Known(entry, revision)));
    List<String> ids = endpoints.ids().stream().map(EndpointId::value).toList();
    return new DirectoryAnswer(config, changed, ids, endpointsRevision());
  }

  private boolean isCutOffAndBehind(FleetNews news) {
    long silentMillis = STORE_SILENT_MILLIS + (directory.isKnown() ? StoreWatch.WAIT_MILLIS : 0);
    return news.endpointsRevision() > endpointsRevision()
        && directory.ownStoreAgeMillis() > silentMillis;
  }

  private boolean differs(FleetNews news) {
    return news.endpointsRevision() >= endpointsRevision()
        && news.endpointsHash() != endpointsHash();
  }

  private void learn(PeerMessage message) {
    asking = false;
    if (!(message instanceof DirectoryAnswer answer)) {
      return;
    }
    answer.config().forEach(directory::learnConfig);
    if (answer.endpointsRevision() >= 0 && answer.endpointsRevision() >= endpointsRevision()) {
      Map<EndpointEntry, Long> entries = new LinkedHashMap<>();
      answer.endpoints().forEach(known -> entries.put(known.entry(), known.revision()));
      List<EndpointId> ids = answer.ids().stream().map(EndpointId::of).toList();
      directory.learnEndpoints(entries, ids, answer.endpointsRevision());
      asksAll = endpointsHash() != wantedHash;
    }
  }
}
