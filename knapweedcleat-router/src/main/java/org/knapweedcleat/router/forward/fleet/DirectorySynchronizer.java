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
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.forward.store.StoreWatcher;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessenger;

/** Learns from other instances what is published, and tells them. */
final class DirectorySynchronizer {

  /** How long a question may take; a configuration can be a megabyte long. */
  private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

  /** The pause between questions, longer than an answer from another region takes. */
  private static final long MIN_REQUEST_INTERVAL_MILLIS = 200;

  /** An instance that reads the store asks others when the store has said nothing for so long. */
  private static final long STORE_TIMEOUT_MILLIS = 1_500;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final DirectoryCache directory;
  private final DecisionLog log;
  private long requestedAtMillis = NEVER_MILLIS;
  private boolean requestPending;
  private int expectedHash;
  private boolean needsFullList;

  DirectorySynchronizer(DirectoryCache directory, DecisionLog log) {
    this.directory = directory;
    this.log = log;
  }

  long configVersion() {
    return directory.config().map(RoutingConfig::version).orElse(-1L);
  }

  long endpointsRevision() {
    return directory.isLoaded() ? directory.endpoints().revision() : -1;
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
  void requestIfBehind(
      long nowMillis, GossipMessage news, boolean reads, PeerAddress address, PeerMessenger carrier) {
    boolean config = news.configVersion() > configVersion();
    boolean endpoints = reads ? isBehindWithoutStore(news) : isStale(news);
    if ((!config && !endpoints) || requestPending || nowMillis - requestedAtMillis < MIN_REQUEST_INTERVAL_MILLIS) {
      return;
    }
    requestedAtMillis = nowMillis;
    requestPending = true;
    expectedHash = news.endpointsHash();
    long since = needsFullList ? -1 : endpointsRevision();
    IncarnationId from = news.sender().incarnation();
    carrier
        .request(
            address,
            from,
            new DirectoryRequest(configVersion(), endpoints ? since : Long.MAX_VALUE),
            REQUEST_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            this::merge,
            failure -> {
              requestPending = false;
              log.stateChange("peer.unanswered", "peer", from, "why", failure.getMessage());
            });
  }

  /** Answers a question with what has changed since the asker's revision. */
  DirectoryResponse respond(DirectoryRequest asked) {
    List<RoutingContent> config = new ArrayList<>();
    directory
        .config()
        .filter(own -> own.version() > asked.configVersion())
        .ifPresent(own -> config.add(own.content()));
    if (endpointsRevision() < asked.endpointsRevision()) {
      return new DirectoryResponse(config, List.of(), List.of(), -1);
    }
    EndpointDirectory endpoints = directory.endpoints();
    List<DirectoryResponse.VersionedEntry> changed = new ArrayList<>();
    endpoints
        .changedSince(asked.endpointsRevision())
        .forEach((entry, revision) -> changed.add(new DirectoryResponse.VersionedEntry(entry, revision)));
    List<String> ids = endpoints.ids().stream().map(EndpointId::value).toList();
    return new DirectoryResponse(config, changed, ids, endpointsRevision());
  }

  private boolean isBehindWithoutStore(GossipMessage news) {
    long silentMillis = STORE_TIMEOUT_MILLIS + (directory.isLoaded() ? StoreWatcher.LONG_POLL_MILLIS : 0);
    return news.endpointsRevision() > endpointsRevision()
        && directory.directStoreAgeMillis() > silentMillis;
  }

  private boolean isStale(GossipMessage news) {
    return news.endpointsRevision() >= endpointsRevision()
        && news.endpointsHash() != endpointsHash();
  }

  private void merge(PeerMessage message) {
    requestPending = false;
    if (!(message instanceof DirectoryResponse answer)) {
      return;
    }
    answer.config().forEach(directory::mergeConfig);
    if (answer.endpointsRevision() >= 0 && answer.endpointsRevision() >= endpointsRevision()) {
      Map<EndpointEntry, Long> entries = new LinkedHashMap<>();
      answer.endpoints().forEach(known -> entries.put(known.entry(), known.revision()));
      List<EndpointId> ids = answer.endpointIds().stream().map(EndpointId::of).toList();
      directory.mergeEndpoints(entries, ids, answer.endpointsRevision());
      needsFullList = endpointsHash() != expectedHash;
    }
  }
}
