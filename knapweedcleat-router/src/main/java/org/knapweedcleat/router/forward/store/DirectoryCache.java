package org.knapweedcleat.router.forward.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.directory.EndpointDirectory;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.router.forward.log.DecisionLog;

/**
 * Local copy of the published configuration and endpoints, fed by the store and by other instances.
 *
 * <p>Removals are deferred for a grace period after a store outage, in which live endpoints renew
 * entries that expired during the outage.
 */
public final class DirectoryCache implements StoreListener {

  /** Endpoints renew expired entries within about two seconds of a store outage. */
  private static final long REREGISTRATION_GRACE_MILLIS = 2_200;

  /** No entry expires in a store outage shorter than this. */
  private static final long MIN_OUTAGE_MILLIS = 1_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final EndpointDirectory endpoints = EndpointDirectory.create();
  private final Map<EndpointId, Long> pendingRemovals = new HashMap<>();
  private final Map<PublishedKind, Long> directContactAtMillis = neverContacted();
  private final Map<PublishedKind, Long> contactAtMillis = neverContacted();
  private final LongSupplier clock;
  private final DecisionLog log;
  private Optional<RoutingConfig> config = Optional.empty();
  private boolean endpointsLoaded;
  private long unavailableSinceMillis = -1;
  private long graceEndMillis = Long.MIN_VALUE;

  private DirectoryCache(LongSupplier clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
  }

  /**
   * Creates an empty cache.
   *
   * @param clock returns the current time in milliseconds
   * @param log records changes
   * @return the cache
   */
  public static DirectoryCache of(LongSupplier clock, DecisionLog log) {
    return new DirectoryCache(clock, log);
  }

  /**
   * Returns the current configuration.
   *
   * @return the configuration, empty until one is received
   */
  public Optional<RoutingConfig> config() {
    return config;
  }

  /**
   * Returns the directory of published endpoints.
   *
   * @return the endpoint directory
   */
  public EndpointDirectory endpoints() {
    return endpoints;
  }

  /**
   * Returns whether calls can be served.
   *
   * @return true once a configuration and the endpoints have been received
   */
  public boolean isLoaded() {
    return config.isPresent() && endpointsLoaded;
  }

  /**
   * Returns the time since the store last answered a request of this instance for items of a kind.
   *
   * @param kind the kind of items
   * @return the age in milliseconds
   */
  public long directAgeMillis(PublishedKind kind) {
    return clock.getAsLong() - directContactAtMillis.get(kind);
  }

  /**
   * Returns the time since the items of a kind were known to be current: since the store last
   * answered a request for them, of this instance or of a peer that has no newer ones.
   *
   * @param kind the kind of items
   * @return the age in milliseconds
   */
  public long ageMillis(PublishedKind kind) {
    return clock.getAsLong() - contactAtMillis.get(kind);
  }

  /**
   * Returns the time since all items were known to be current.
   *
   * @return the highest age of a kind in milliseconds
   */
  public long ageMillis() {
    return clock.getAsLong() - Collections.min(contactAtMillis.values());
  }

  /**
   * Records that another instance, which has no newer items, has contact with the store.
   *
   * @param ageMillis the time since all items were known to be current there
   */
  public void recordPeerContact(long ageMillis) {
    long peerContactAtMillis = clock.getAsLong() - ageMillis;
    contactAtMillis.replaceAll((kind, atMillis) -> Math.max(atMillis, peerContactAtMillis));
  }

  /** Removes endpoints that did not renew their entries within the grace period. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    if (pendingRemovals.isEmpty() || nowMillis < graceEndMillis) {
      return;
    }
    Map<EndpointId, Long> expired = Map.copyOf(pendingRemovals);
    pendingRemovals.clear();
    expired.forEach(this::removeNow);
  }

  /**
   * Applies a configuration received from another instance, if it is newer.
   *
   * @param content the configuration
   */
  public void mergeConfig(RoutingContent content) {
    applyConfig(content, "peer");
  }

  /**
   * Merges endpoints received from another instance.
   *
   * @param entries the changed endpoints and the revisions of their last change
   * @param ids the ids of all endpoints known to the other instance
   * @param revision the revision up to which {@code ids} is complete
   */
  public void mergeEndpoints(
      Map<EndpointEntry, Long> entries, List<EndpointId> ids, long revision) {
    entries.forEach(this::put);
    endpoints.absentFrom(ids, revision).forEach(id -> remove(id, revision));
    endpoints.advanceTo(revision);
    endpointsLoaded = true;
  }

  @Override
  public void onListed(PublishedKind kind, List<PublishedItem> items, long revision) {
    recordContact(kind);
    items.forEach(this::apply);
    if (kind != PublishedKind.ENDPOINTS) {
      return;
    }
    List<EndpointId> listed = new ArrayList<>();
    items.forEach(
        item -> {
          if (item instanceof PublishedItem.Endpoint endpoint) {
            listed.add(endpoint.entry().id());
          }
        });
    endpoints.absentFrom(listed, revision).forEach(id -> remove(id, revision));
    endpoints.advanceTo(revision);
    endpointsLoaded = true;
  }

  @Override
  public void onChanged(PublishedKind kind, List<PublishedItem> items, long revision) {
    recordContact(kind);
    items.forEach(this::apply);
    if (kind == PublishedKind.ENDPOINTS) {
      endpoints.advanceTo(revision);
    }
  }

  @Override
  public void onUnavailable(PublishedKind kind, StoreException failure) {
    if (unavailableSinceMillis < 0) {
      unavailableSinceMillis = clock.getAsLong();
      log.stateChange(
          "store.lost", "kind", kind, "reason", failure.reason(), "message", failure.getMessage());
    }
  }

  private void recordContact(PublishedKind kind) {
    long nowMillis = clock.getAsLong();
    contactAtMillis.put(kind, nowMillis);
    directContactAtMillis.put(kind, nowMillis);
    if (unavailableSinceMillis >= 0) {
      long outageMillis = nowMillis - unavailableSinceMillis;
      log.stateChange("store.regained", "kind", kind, "awayMillis", outageMillis);
      unavailableSinceMillis = -1;
      if (outageMillis >= MIN_OUTAGE_MILLIS) {
        graceEndMillis = nowMillis + REREGISTRATION_GRACE_MILLIS;
      }
    }
  }

  private static Map<PublishedKind, Long> neverContacted() {
    Map<PublishedKind, Long> contacts = new EnumMap<>(PublishedKind.class);
    for (PublishedKind kind : PublishedKind.values()) {
      contacts.put(kind, NEVER_MILLIS);
    }
    return contacts;
  }

  private void apply(PublishedItem item) {
    if (item instanceof PublishedItem.Config newConfig) {
      applyConfig(newConfig.content(), "store");
    } else if (item instanceof PublishedItem.Endpoint endpoint) {
      put(endpoint.entry(), endpoint.revision());
    } else if (item instanceof PublishedItem.Removed removed) {
      remove(removed.endpoint(), removed.revision());
    } else if (item instanceof PublishedItem.Unusable unusable) {
      log.stateChange("published.unusable", "name", unusable.name(), "reason", unusable.reason());
      unusable.endpoint().ifPresent(id -> remove(id, unusable.revision()));
    }
  }

  private void applyConfig(RoutingContent content, String source) {
    long currentVersion = config.map(RoutingConfig::version).orElse(Long.MIN_VALUE);
    if (content.version() <= currentVersion) {
      return;
    }
    config = Optional.of(RoutingConfig.of(content));
    log.stateChange(
        "config.applied",
        "version",
        content.version(),
        "source",
        source,
        "routes",
        content.routes().size(),
        "accounts",
        content.accounts().size());
  }

  private void put(EndpointEntry entry, long revision) {
    pendingRemovals.remove(entry.id());
    if (endpoints.put(entry, revision)) {
      log.stateChange(
          entry.draining() ? "endpoint.draining" : "endpoint.known",
          "endpoint",
          entry.id(),
          "address",
          entry.address(),
          "domain",
          entry.domain(),
          "stage",
          entry.stage(),
          "revision",
          revision);
    }
  }

  private void remove(EndpointId id, long revision) {
    if (clock.getAsLong() < graceEndMillis) {
      pendingRemovals.put(id, revision);
      return;
    }
    removeNow(id, revision);
  }

  private void removeNow(EndpointId id, long revision) {
    if (endpoints.remove(id, revision)) {
      log.stateChange("endpoint.gone", "endpoint", id, "revision", revision);
    }
  }
}
