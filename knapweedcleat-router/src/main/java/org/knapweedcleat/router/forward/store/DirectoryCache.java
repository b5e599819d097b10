package org.knapweedcleat.router.forward.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.directory.DomainEvacuations;
import org.knapweedcleat.core.directory.EndpointDirectory;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.directory.RoutingContent;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.router.forward.log.DecisionLog;

/**
 * Local copy of the published configuration and endpoints, fed by the store and by other instances.
 *
 * <p>Removals are deferred for a grace period after a store outage, in which live endpoints renew
 * entries that expired during the outage, or that a restored store has lost. Entries that a
 * restored store may list by mistake, since it has lost their removal, are held back until they
 * would have expired.
 */
public final class DirectoryCache implements StoreListener {

  /** Endpoints renew expired entries within about two seconds of a store outage. */
  private static final long REREGISTRATION_GRACE_MILLIS = 2_200;

  /** The entry of an endpoint that has ended expires within this time. */
  private static final long ENTRY_EXPIRY_MILLIS = 5_000;

  /** No entry expires in a store outage shorter than this. */
  private static final long MIN_OUTAGE_MILLIS = 1_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final EndpointDirectory endpoints = EndpointDirectory.create();
  private final Map<EndpointId, StorePosition> pendingRemovals = new HashMap<>();
  private final Map<EndpointId, HeldEntry> heldEntries = new HashMap<>();
  private final Map<PublishedKind, Long> directContactAtMillis = neverContacted();
  private final Map<PublishedKind, Long> contactAtMillis = neverContacted();
  private final EligibilityCache eligibility;
  private final LongSupplier clock;
  private final DecisionLog log;
  private Optional<RoutingConfig> config = Optional.empty();
  private boolean endpointsLoaded;
  private long unavailableSinceMillis = -1;
  private long graceEndMillis = Long.MIN_VALUE;
  private StorePosition newest = StorePosition.NONE;
  private long eraNoticedAtMillis;

  /** An entry that may be older than the endpoint's removal. */
  private record HeldEntry(EndpointEntry entry, StorePosition position, long untilMillis) {}

  private DirectoryCache(
      Map<FailureDomainId, RegionId> regionByDomain, LongSupplier clock, DecisionLog log) {
    this.eligibility = new EligibilityCache(regionByDomain, clock, log);
    this.clock = clock;
    this.log = log;
    this.eraNoticedAtMillis = clock.getAsLong();
  }

  /**
   * Creates an empty cache that does not check the names of failure domains and regions.
   *
   * @param clock returns the current time in milliseconds
   * @param log records changes
   * @return the cache
   */
  public static DirectoryCache of(LongSupplier clock, DecisionLog log) {
    return of(Map.of(), clock, log);
  }

  /**
   * Creates an empty cache.
   *
   * @param regionByDomain the region of each failure domain
   * @param clock returns the current time in milliseconds
   * @param log records changes
   * @return the cache
   */
  public static DirectoryCache of(
      Map<FailureDomainId, RegionId> regionByDomain, LongSupplier clock, DecisionLog log) {
    return new DirectoryCache(regionByDomain, clock, log);
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
   * Returns the published evacuations and cold times.
   *
   * @return the evacuations and cold times
   */
  public EligibilityCache eligibility() {
    return eligibility;
  }

  /**
   * Returns the published profile of a service.
   *
   * @param service the service
   * @return its profile; empty if it is not published
   */
  public Optional<ServiceProfile> findService(ServiceId service) {
    return config.flatMap(current -> current.findService(service));
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
   * Returns the time since this instance noticed that the store was restored.
   *
   * @return the time in milliseconds; that since its start if it has noticed no restoration
   */
  public long eraAgeMillis() {
    return clock.getAsLong() - eraNoticedAtMillis;
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

  /**
   * Removes endpoints that did not renew their entries within the grace period, and adds those
   * whose entries have outlasted the time for which they are held back.
   */
  public void tick() {
    long nowMillis = clock.getAsLong();
    eligibility.tick();
    if (!pendingRemovals.isEmpty() && nowMillis >= graceEndMillis) {
      Map<EndpointId, StorePosition> expired = Map.copyOf(pendingRemovals);
      pendingRemovals.clear();
      expired.forEach(this::removeNow);
    }
    if (!heldEntries.isEmpty()) {
      List.copyOf(heldEntries.values()).stream()
          .filter(held -> nowMillis >= held.untilMillis())
          .forEach(held -> putNow(held.entry(), held.position()));
    }
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
   * @param entries the changed endpoints and the positions of their last change
   * @param ids the ids of all endpoints known to the other instance
   * @param position the position up to which {@code ids} is complete
   */
  public void mergeEndpoints(
      Map<EndpointEntry, StorePosition> entries, List<EndpointId> ids, StorePosition position) {
    recordPosition(position);
    entries.forEach(this::put);
    removeAbsent(ids, position);
  }

  @Override
  public void onListed(PublishedKind kind, List<PublishedItem> items, StorePosition position) {
    recordContact(kind);
    recordPosition(position);
    items.forEach(this::apply);
    if (kind != PublishedKind.ENDPOINTS) {
      eligibility.endAbsent(items, position);
      return;
    }
    List<EndpointId> listed = new ArrayList<>();
    items.forEach(
        item -> {
          if (item instanceof PublishedItem.Endpoint endpoint) {
            listed.add(endpoint.entry().id());
          }
        });
    removeAbsent(listed, position);
  }

  @Override
  public void onChanged(PublishedKind kind, List<PublishedItem> items, StorePosition position) {
    recordContact(kind);
    recordPosition(position);
    items.forEach(this::apply);
    if (kind == PublishedKind.ENDPOINTS) {
      endpoints.advanceTo(position);
    } else {
      eligibility.evacuations().advanceTo(position);
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

  /** Begins a grace period at the first position of a later era, which a restored store starts. */
  private void recordPosition(StorePosition position) {
    if (newest.hasEra() && position.isOfLaterEra(newest)) {
      eraNoticedAtMillis = clock.getAsLong();
      graceEndMillis = eraNoticedAtMillis + REREGISTRATION_GRACE_MILLIS;
      log.stateChange("store.restored", "position", position, "previous", newest);
    }
    newest = newest.max(position);
  }

  private void removeAbsent(List<EndpointId> present, StorePosition position) {
    endpoints.absentFrom(present, position).forEach(id -> remove(id, position));
    heldEntries
        .values()
        .removeIf(
            held ->
                held.position().compareTo(position) <= 0 && !present.contains(held.entry().id()));
    endpoints.advanceTo(position);
    endpointsLoaded = true;
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
      applyConfig(newConfig.content(), EligibilityCache.STORE);
    } else if (item instanceof PublishedItem.Evacuation evacuation) {
      eligibility.applyEvacuation(
          new DomainEvacuations.Change(
              evacuation.domain(), evacuation.evacuated(), evacuation.position()),
          EligibilityCache.STORE);
    } else if (item instanceof PublishedItem.Endpoint endpoint) {
      recordColdTime(endpoint);
      put(endpoint.entry(), endpoint.position());
    } else if (item instanceof PublishedItem.Removed removed) {
      remove(removed.endpoint(), removed.position());
    } else if (item instanceof PublishedItem.Unusable unusable) {
      log.stateChange("published.unusable", "name", unusable.name(), "reason", unusable.reason());
      unusable.endpoint().ifPresent(id -> remove(id, unusable.position()));
    }
  }

  private void recordColdTime(PublishedItem.Endpoint endpoint) {
    if (endpoint.coldRemainingMillis() != 0) {
      long coldStartMillis =
          findService(endpoint.entry().service()).map(ServiceProfile::coldStartMillis).orElse(0L);
      eligibility.recordPublished(endpoint, coldStartMillis);
    }
  }

  private void applyConfig(RoutingContent content, String source) {
    long currentVersion = config.map(RoutingConfig::version).orElse(Long.MIN_VALUE);
    if (content.version() <= currentVersion) {
      return;
    }
    config = Optional.of(RoutingConfig.of(content));
    eligibility.check(content);
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

  private void put(EndpointEntry entry, StorePosition position) {
    if (!endpoints.mayPrecedeRemoval(entry, position)) {
      putNow(entry, position);
      return;
    }
    HeldEntry previous = heldEntries.get(entry.id());
    if (previous == null || previous.position().compareTo(position) < 0) {
      long untilMillis = clock.getAsLong() + ENTRY_EXPIRY_MILLIS;
      heldEntries.put(entry.id(), new HeldEntry(entry, position, untilMillis));
      log.stateChange("endpoint.held", "endpoint", entry.id(), "revision", position);
    }
  }

  private void putNow(EndpointEntry entry, StorePosition position) {
    pendingRemovals.computeIfPresent(
        entry.id(), (id, removal) -> removal.compareTo(position) <= 0 ? null : removal);
    heldEntries.computeIfPresent(
        entry.id(), (id, held) -> held.position().compareTo(position) <= 0 ? null : held);
    if (endpoints.put(entry, position)) {
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
          position);
    }
  }

  private void remove(EndpointId id, StorePosition position) {
    heldEntries.remove(id);
    if (clock.getAsLong() < graceEndMillis) {
      pendingRemovals.put(id, position);
      return;
    }
    removeNow(id, position);
  }

  private void removeNow(EndpointId id, StorePosition position) {
    if (endpoints.remove(id, position)) {
      log.stateChange("endpoint.gone", "endpoint", id, "revision", position);
    }
  }
}
