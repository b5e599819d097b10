package org.knapweedcleat.router.forward.store;

import java.util.ArrayList;
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
 * What is published as this instance knows it, from the store and from other instances.
 *
 * <p>Endpoints whose entries are missing just after the store was away are kept for a moment: the
 * entries of those that live are back by then.
 */
public final class DirectoryCache implements StoreListener {

  /** The users' figure for the return of lapsed entries is about two seconds. */
  private static final long REREGISTRATION_GRACE_MILLIS = 2_200;

  /** A store that was away for less than this has let no entry lapse. */
  private static final long MIN_OUTAGE_MILLIS = 1_000;

  private final EndpointDirectory endpoints = EndpointDirectory.create();
  private final Map<EndpointId, Long> pendingRemovals = new HashMap<>();
  private final LongSupplier clock;
  private final DecisionLog log;
  private Optional<RoutingConfig> config = Optional.empty();
  private boolean endpointsLoaded;
  private long unavailableSinceMillis = -1;
  private long directContactAtMillis = Long.MIN_VALUE / 2;
  private long contactAtMillis = Long.MIN_VALUE / 2;
  private long graceEndMillis = Long.MIN_VALUE;

  private DirectoryCache(LongSupplier clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
  }

  /**
   * Returns a directory that knows nothing.
   *
   * @param clock gives the time in milliseconds
   * @param log takes what changes
   * @return the directory
   */
  public static DirectoryCache of(LongSupplier clock, DecisionLog log) {
    return new DirectoryCache(clock, log);
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, once one is known
   */
  public Optional<RoutingConfig> config() {
    return config;
  }

  /**
   * Returns the endpoints.
   *
   * @return the endpoints
   */
  public EndpointDirectory endpoints() {
    return endpoints;
  }

  /**
   * Tells whether calls can be served.
   *
   * @return true once a configuration and the endpoints are known
   */
  public boolean isLoaded() {
    return config.isPresent() && endpointsLoaded;
  }

  /**
   * Returns how long ago the store last answered this instance.
   *
   * @return milliseconds
   */
  public long directStoreAgeMillis() {
    return clock.getAsLong() - directContactAtMillis;
  }

  /**
   * Returns how long ago the store last answered, also another instance that knows no more.
   *
   * @return milliseconds
   */
  public long storeAgeMillis() {
    return clock.getAsLong() - contactAtMillis;
  }

  /**
   * Takes another instance's word on when the store last answered.
   *
   * @param ageMillis how long ago that was
   */
  public void recordPeerContact(long ageMillis) {
    contactAtMillis = Math.max(contactAtMillis, clock.getAsLong() - ageMillis);
  }

  /** Removes endpoints whose entries have not come back in time. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    if (pendingRemovals.isEmpty() || nowMillis < graceEndMillis) {
      return;
    }
    Map<EndpointId, Long> due = Map.copyOf(pendingRemovals);
    pendingRemovals.clear();
    due.forEach(this::removeNow);
  }

  /**
   * Takes a configuration that another instance has.
   *
   * @param content the configuration
   */
  public void mergeConfig(RoutingContent content) {
    applyConfig(content, "peer");
  }

  /**
   * Takes the endpoints that another instance knows.
   *
   * @param entries endpoints that have changed, with the revision of their last change
   * @param ids all endpoints that the other instance knows
   * @param at the revision up to which its list is whole
   */
  public void mergeEndpoints(Map<EndpointEntry, Long> entries, List<EndpointId> ids, long at) {
    entries.forEach(this::put);
    endpoints.absentFrom(ids, at).forEach(id -> remove(id, at));
    endpoints.advanceTo(at);
    endpointsLoaded = true;
  }

  @Override
  public void onListed(PublishedKind kind, List<PublishedItem> items, long at) {
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
    endpoints.absentFrom(listed, at).forEach(id -> remove(id, at));
    endpoints.advanceTo(at);
    endpointsLoaded = true;
  }

  @Override
  public void onChanged(PublishedKind kind, List<PublishedItem> items, long at) {
    recordContact(kind);
    items.forEach(this::apply);
    if (kind == PublishedKind.ENDPOINTS) {
      endpoints.advanceTo(at);
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
    contactAtMillis = nowMillis;
    directContactAtMillis = nowMillis;
    if (unavailableSinceMillis >= 0) {
      long awayMillis = nowMillis - unavailableSinceMillis;
      log.stateChange("store.regained", "kind", kind, "awayMillis", awayMillis);
      unavailableSinceMillis = -1;
      if (awayMillis >= MIN_OUTAGE_MILLIS) {
        graceEndMillis = nowMillis + REREGISTRATION_GRACE_MILLIS;
      }
    }
  }

  private void apply(PublishedItem item) {
    if (item instanceof PublishedItem.Config one) {
      applyConfig(one.content(), "store");
    } else if (item instanceof PublishedItem.Endpoint one) {
      put(one.entry(), one.revision());
    } else if (item instanceof PublishedItem.Removed one) {
      remove(one.endpoint(), one.revision());
    } else if (item instanceof PublishedItem.Unusable one) {
      log.stateChange("published.unusable", "name", one.name(), "reason", one.reason());
      one.endpoint().ifPresent(id -> remove(id, one.revision()));
    }
  }

  private void applyConfig(RoutingContent content, String source) {
    long before = config.map(RoutingConfig::version).orElse(Long.MIN_VALUE);
    if (content.version() <= before) {
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
