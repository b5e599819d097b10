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

/**
 * Directory of the published endpoints, versioned by the revision of their last change.
 *
 * <p>Changes may arrive repeatedly and, from other instances, late. Of two changes to an endpoint,
 * the one with the higher revision wins. An endpoint whose entry expired while its publisher was
 * unavailable is kept for a time, since the entry may return.
 */
public final class EndpointDirectory {

  /**
   * Number of removals that are remembered, so that late changes do not restore removed endpoints.
   */
  private static final int MAX_REMOVALS = 2_000;

  /** Marks a hash that is not computed; outside the range of an {@code int}. */
  private static final long UNKNOWN_HASH = Long.MIN_VALUE;

  private final Map<EndpointId, VersionedEntry> entries = new TreeMap<>();
  private final Map<EndpointId, Long> removalRevisions =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Long> eldest) {
          return size() > MAX_REMOVALS;
        }
      };
  private final Map<ServiceId, List<EndpointEntry>> availableByService = new HashMap<>();
  private long contentHash = UNKNOWN_HASH;
  private long revision;

  private record VersionedEntry(EndpointEntry entry, long revision) {}

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
   * Returns the revision of the directory.
   *
   * @return the highest revision that it includes, initially 0
   */
  public long revision() {
    return revision;
  }

  /**
   * Records that all changes up to a revision are included.
   *
   * @param newRevision the revision
   */
  public void advanceTo(long newRevision) {
    revision = Math.max(revision, newRevision);
  }

  /**
   * Adds or updates an endpoint.
   *
   * @param entry the entry
   * @param changeRevision the revision of its last change
   * @return true if the entry is new or has changed
   */
  public boolean put(EndpointEntry entry, long changeRevision) {
    VersionedEntry previous = entries.get(entry.id());
    if (changeRevision < removalRevisions.getOrDefault(entry.id(), 0L)
        || (previous != null && previous.revision() >= changeRevision)) {
      return false;
    }
    removalRevisions.remove(entry.id());
    entries.put(entry.id(), new VersionedEntry(entry, changeRevision));
    invalidateDerived();
    revision = Math.max(revision, changeRevision);
    return previous == null || !previous.entry().equals(entry);
  }

  /**
   * Removes an endpoint.
   *
   * @param id the endpoint
   * @param changeRevision the revision of its removal
   * @return true if it was present
   */
  public boolean remove(EndpointId id, long changeRevision) {
    VersionedEntry previous = entries.get(id);
    if (previous != null && previous.revision() > changeRevision) {
      return false;
    }
    removalRevisions.merge(id, changeRevision, Math::max);
    revision = Math.max(revision, changeRevision);
    invalidateDerived();
    return entries.remove(id) != null;
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
   * @param listingRevision the lowest revision of the listing's pages
   * @return the endpoint ids in order
   */
  public List<EndpointId> absentFrom(Collection<EndpointId> listed, long listingRevision) {
    Set<EndpointId> listedIds = Set.copyOf(listed);
    return entries.entrySet().stream()
        .filter(
            entry ->
                !listedIds.contains(entry.getKey())
                    && entry.getValue().revision() <= listingRevision)
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
   * Returns all endpoints with the revision of their last change.
   *
   * @return the entries ordered by id
   */
  public Map<EndpointEntry, Long> all() {
    return changedSince(Long.MIN_VALUE);
  }

  /**
   * Returns the endpoints that changed after a revision, without removed ones.
   *
   * @param afterRevision the revision
   * @return the entries with the revision of their last change, ordered by id
   */
  public Map<EndpointEntry, Long> changedSince(long afterRevision) {
    Map<EndpointEntry, Long> changed = new LinkedHashMap<>();
    entries.values().stream()
        .filter(versioned -> versioned.revision() > afterRevision)
        .forEach(versioned -> changed.put(versioned.entry(), versioned.revision()));
    return changed;
  }

  /**
   * Returns a hash for comparing directories of different instances.
   *
   * @return the same value on every instance that has the same endpoints at the same revisions
   */
  public int contentHash() {
    if (contentHash == UNKNOWN_HASH) {
      List<Object> content = new ArrayList<>();
      entries.forEach((id, versioned) -> content.addAll(List.of(id.value(), versioned.revision())));
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
