package org.knapweedcleat.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.StorePosition;

/**
 * Directory of the published endpoints, versioned by the position of their last change.
 *
 * <p>Changes may arrive repeatedly and, from other instances, late. Of two changes to an endpoint,
 * the one with the later position wins. A store that was restored from a copy may list endpoints as
 * they were before changes that it has lost; an endpoint that has announced its end is kept as
 * draining then.
 */
public final class EndpointDirectory {

  /**
   * Number of removals that are remembered, so that late changes do not restore removed endpoints.
   */
  private static final int MAX_REMOVALS = 2_000;

  /** Marks a hash that is not computed; outside the range of an {@code int}. */
  private static final long UNKNOWN_HASH = Long.MIN_VALUE;

  private final Map<EndpointId, VersionedEntry> entries = new TreeMap<>();
  private final Map<EndpointId, Removal> removals =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Removal> eldest) {
          return size() > MAX_REMOVALS;
        }
      };
  private final Map<ServiceId, List<EndpointEntry>> availableByService = new HashMap<>();
  private long contentHash = UNKNOWN_HASH;
  private StorePosition position = StorePosition.NONE;

  private record VersionedEntry(EndpointEntry entry, StorePosition position) {}

  /** The removal of an endpoint, with the entry that was removed if it was known. */
  private record Removal(StorePosition position, Optional<VersionedEntry> removed) {}

  private EndpointDirectory() {}

  /**
   * Returns an empty directory.
   *
   * @return the directory
   */
  public static EndpointDirectory create() {
    return new EndpointDirectory();
  }

  /**
   * Returns the position of the directory.
   *
   * @return the latest position that it includes, initially {@link StorePosition#NONE}
   */
  public StorePosition position() {
    return position;
  }

  /**
   * Records that all changes up to a position are included.
   *
   * @param newPosition the position
   */
  public void advanceTo(StorePosition newPosition) {
    position = position.max(newPosition);
  }

  /**
   * Adds or updates an endpoint.
   *
   * @param entry the entry
   * @param changePosition the position of its last change
   * @return true if the entry is new or has changed
   */
  public boolean put(EndpointEntry entry, StorePosition changePosition) {
    VersionedEntry previous = entries.get(entry.id());
    Removal removal = removals.get(entry.id());
    if ((removal != null && changePosition.compareTo(removal.position()) < 0)
        || (previous != null && changePosition.compareTo(previous.position()) <= 0)) {
      return false;
    }
    removals.remove(entry.id());
    EndpointEntry current =
        hasLostDraining(previous, entry, changePosition) ? entry.asDraining() : entry;
    entries.put(entry.id(), new VersionedEntry(current, changePosition));
    invalidateDerived();
    advanceTo(changePosition);
    return previous == null || !previous.entry().equals(current);
  }

  /** Returns whether an entry of a restored store is older than the endpoint's announced end. */
  private static boolean hasLostDraining(
      VersionedEntry previous, EndpointEntry entry, StorePosition changePosition) {
    return previous != null
        && previous.entry().draining()
        && changePosition.isOfLaterEra(previous.position())
        && EndpointIncarnation.of(entry).equals(EndpointIncarnation.of(previous.entry()));
  }

  /**
   * Returns whether an entry of a restored store may be older than the endpoint's removal, which
   * the store has lost: its revision is not above that of the entry that was removed.
   *
   * @param entry the entry
   * @param changePosition the position of its last change
   * @return false for entries that were certainly published after the removal
   */
  public boolean mayPrecedeRemoval(EndpointEntry entry, StorePosition changePosition) {
    Removal removal = removals.get(entry.id());
    return removal != null
        && changePosition.isOfLaterEra(removal.position())
        && removal
            .removed()
            .filter(
                removed ->
                    EndpointIncarnation.of(entry).equals(EndpointIncarnation.of(removed.entry()))
                        && changePosition.revision() <= removed.position().revision())
            .isPresent();
  }

  /**
   * Removes an endpoint.
   *
   * @param id the endpoint
   * @param changePosition the position of its removal
   * @return true if it was present
   */
  public boolean remove(EndpointId id, StorePosition changePosition) {
    VersionedEntry previous = entries.get(id);
    if (previous != null && previous.position().compareTo(changePosition) > 0) {
      return false;
    }
    Removal removal = new Removal(changePosition, Optional.ofNullable(previous));
    removals.merge(id, removal, EndpointDirectory::latest);
    advanceTo(changePosition);
    invalidateDerived();
    return entries.remove(id) != null;
  }

  /** Combines two removals between which the endpoint was not present. */
  private static Removal latest(Removal earlier, Removal later) {
    return new Removal(
        earlier.position().max(later.position()), later.removed().or(earlier::removed));
  }

  private void invalidateDerived() {
    availableByService.clear();
    contentHash = UNKNOWN_HASH;
  }

  /**
   * Returns the endpoints that are absent from a full listing, although they last changed before
   * it.
   *
   * @param listed the endpoints of the listing
   * @param listingPosition the earliest position of the listing's pages
   * @return the endpoint ids in order
   */
  public List<EndpointId> absentFrom(Collection<EndpointId> listed, StorePosition listingPosition) {
    Set<EndpointId> listedIds = Set.copyOf(listed);
    return entries.entrySet().stream()
        .filter(
            entry ->
                !listedIds.contains(entry.getKey())
                    && entry.getValue().position().compareTo(listingPosition) <= 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns an endpoint.
   *
   * @param id its id
   * @return the endpoint, or empty if it is unknown
   */
  public Optional<EndpointEntry> find(EndpointId id) {
    return Optional.ofNullable(entries.get(id)).map(VersionedEntry::entry);
  }

  /**
   * Finds an endpoint by its address; takes time proportional to the number of endpoints.
   *
   * @param address the address as {@code host:port}
   * @return an endpoint with that address, or empty if there is none
   */
  public Optional<EndpointEntry> findByAddress(String address) {
    return entries.values().stream()
        .map(VersionedEntry::entry)
        .filter(entry -> entry.address().equals(address))
        .findFirst();
  }

  /**
   * Returns the endpoints of a service that accept new work.
   *
   * @param service the service
   * @return the endpoints ordered by id
   */
  public List<EndpointEntry> available(ServiceId service) {
    return availableByService.computeIfAbsent(
        service,
        key ->
            entries.values().stream()
                .map(VersionedEntry::entry)
                .filter(entry -> entry.service().equals(key) && !entry.draining())
                .toList());
  }

  /**
   * Returns all endpoints with the position of their last change.
   *
   * @return the entries ordered by id
   */
  public Map<EndpointEntry, StorePosition> all() {
    return changedSince(StorePosition.NONE);
  }

  /**
   * Returns the endpoints that changed after a position, without removed ones.
   *
   * @param after the position
   * @return the entries with the position of their last change, ordered by id
   */
  public Map<EndpointEntry, StorePosition> changedSince(StorePosition after) {
    Map<EndpointEntry, StorePosition> changed = new LinkedHashMap<>();
    entries.values().stream()
        .filter(versioned -> versioned.position().compareTo(after) > 0)
        .forEach(versioned -> changed.put(versioned.entry(), versioned.position()));
    return changed;
  }

  /**
   * Returns a hash for comparing directories of different instances. It leaves out the eras, so
   * that instances which know of none have the same.
   *
   * @return the same value on every instance that has the same endpoints at the same revisions
   */
  public int contentHash() {
    if (contentHash == UNKNOWN_HASH) {
      List<Object> content = new ArrayList<>();
      entries.forEach(
          (id, versioned) -> content.addAll(List.of(id.value(), versioned.position().revision())));
      contentHash = content.hashCode();
    }
    return (int) contentHash;
  }

  /**
   * Returns the ids of all endpoints.
   *
   * @return the ids in order
   */
  public List<EndpointId> ids() {
    return List.copyOf(entries.keySet());
  }
}
