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
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.forward.store.PublishedKind;
import org.knapweedcleat.router.forward.store.StoreWatcher;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessenger;

/** Exchanges published configuration and endpoints with other instances. */
final class DirectorySynchronizer {

  /** Request timeout; a configuration can be a megabyte long. */
  private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

  /** Minimum time between requests; longer than a response from another region takes. */
  private static final long MIN_REQUEST_INTERVAL_MILLIS = 200;

  /** A store reader requests entries from peers after the store has been silent for this long. */
  private static final long STORE_TIMEOUT_MILLIS = 1_500;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final DirectoryCache directory;
  private final DecisionLog log;
  private long requestedAtMillis = NEVER_MILLIS;
  private boolean requestPending;
  private int expectedHash;

  /** Set when the directory still differs from the sender's after an incremental response. */
  private boolean needsFullList;

  DirectorySynchronizer(DirectoryCache directory, DecisionLog log) {
    this.directory = directory;
    this.log = log;
  }

  long configVersion() {
    return directory.config().map(RoutingConfig::version).orElse(-1L);
  }

  StorePosition endpointsPosition() {
    return directory.isLoaded() ? directory.endpoints().position() : StorePosition.NONE;
  }

  int endpointsHash() {
    return directory.endpoints().contentHash();
  }

  /** Returns whether the sender of a gossip message has nothing that this instance lacks. */
  boolean isAsNewAs(GossipMessage gossip) {
    boolean endpointsAsNew = hasEndpointsOf(gossip) || isNotAfter(position(gossip));
    return hasConfigOf(gossip) && endpointsAsNew;
  }

  /** Returns whether the sender of a gossip message has no newer configuration. */
  boolean hasConfigOf(GossipMessage gossip) {
    return gossip.configVersion() <= configVersion();
  }

  /**
   * Requests newer entries from the sender of a gossip message, if it has any.
   *
   * @param nowMillis the current time
   * @param gossip the gossip message
   * @param readsStore whether this instance reads the store
   * @param address the sender's address
   * @param messenger sends the request
   */
  void requestIfBehind(
      long nowMillis,
      GossipMessage gossip,
      boolean readsStore,
      PeerAddress address,
      PeerMessenger messenger) {
    boolean configBehind = gossip.configVersion() > configVersion();
    boolean endpointsBehind = isStale(gossip) && !(readsStore && hasStoreContact());
    if ((!configBehind && !endpointsBehind)
        || requestPending
        || nowMillis - requestedAtMillis < MIN_REQUEST_INTERVAL_MILLIS) {
      return;
    }
    requestedAtMillis = nowMillis;
    requestPending = true;
    expectedHash = gossip.endpointsHash();
    StorePosition since = needsFullList ? StorePosition.NONE : endpointsPosition();
    IncarnationId sender = gossip.sender().incarnation();
    messenger
        .request(
            address,
            sender,
            new DirectoryRequest(
                configVersion(), endpointsBehind ? since.toLong() : Long.MAX_VALUE),
            REQUEST_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            this::merge,
            failure -> {
              requestPending = false;
              log.stateChange("peer.unanswered", "peer", sender, "why", failure.getMessage());
            });
  }

  private boolean hasEndpointsOf(GossipMessage gossip) {
    return directory.isLoaded() && gossip.endpointsHash() == endpointsHash();
  }

  /** Returns whether a position is known to be no later than that of this instance's endpoints. */
  private boolean isNotAfter(StorePosition other) {
    return other.hasEra() == endpointsPosition().hasEra()
        && other.compareTo(endpointsPosition()) <= 0;
  }

  private static StorePosition position(GossipMessage gossip) {
    return StorePosition.ofLong(gossip.endpointsPosition());
  }

  /** Returns the entries changed since the requester's position. */
  DirectoryResponse respond(DirectoryRequest request) {
    List<RoutingContent> config = new ArrayList<>();
    directory
        .config()
        .filter(current -> current.version() > request.configVersion())
        .ifPresent(current -> config.add(current.content()));
    StorePosition own = endpointsPosition();
    PositionFormat format = PositionFormat.of(request, own);
    StorePosition since = format.read(request.endpointsPosition(), own);
    if (request.isWithoutEndpoints() || own.compareTo(since) < 0) {
      return new DirectoryResponse(config, List.of(), List.of(), -1);
    }
    EndpointDirectory endpoints = directory.endpoints();
    List<DirectoryResponse.VersionedEntry> changed = new ArrayList<>();
    endpoints
        .changedSince(since)
        .forEach(
            (entry, position) ->
                changed.add(new DirectoryResponse.VersionedEntry(entry, format.write(position))));
    List<String> ids = endpoints.ids().stream().map(EndpointId::value).toList();
    return new DirectoryResponse(config, changed, ids, format.write(own));
  }

  private boolean hasStoreContact() {
    long timeoutMillis =
        STORE_TIMEOUT_MILLIS + (directory.isLoaded() ? StoreWatcher.MAX_LONG_POLL_MILLIS : 0);
    return directory.directAgeMillis(PublishedKind.ENDPOINTS) <= timeoutMillis;
  }

  /** Returns whether the sender has other endpoints, of no earlier position. */
  private boolean isStale(GossipMessage gossip) {
    return position(gossip).compareTo(endpointsPosition()) >= 0 && !hasEndpointsOf(gossip);
  }

  private void merge(PeerMessage message) {
    requestPending = false;
    if (!(message instanceof DirectoryResponse response)) {
      return;
    }
    response.config().forEach(directory::mergeConfig);
    StorePosition position = StorePosition.ofLong(response.endpointsPosition());
    if (response.endpointsPosition() >= 0 && position.compareTo(endpointsPosition()) >= 0) {
      Map<EndpointEntry, StorePosition> entries = new LinkedHashMap<>();
      response
          .endpoints()
          .forEach(known -> entries.put(known.entry(), StorePosition.ofLong(known.position())));
      List<EndpointId> ids = response.endpointIds().stream().map(EndpointId::of).toList();
      directory.mergeEndpoints(entries, ids, position);
      needsFullList = endpointsHash() != expectedHash;
    }
  }
}
