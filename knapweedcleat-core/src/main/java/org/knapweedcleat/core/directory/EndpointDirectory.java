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
 * The endpoints as published, by the revision of each change.
 *
 * <p>Changes may arrive twice and, from other instances, late: of two changes to one endpoint the
 * one of the higher revision holds. An endpoint whose entry lapsed while the publisher was away is
 * kept for a time, since its entry may come back.
 */
public final class EndpointDirectory {

  /** How many removed endpoints are remembered, so that no late change brings one back. */
  private static final int MAX_REMOVALS = 2_000;

  /** Outside the range of a hash. */
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
   * Returns how far the directory is.
   *
   * @return the highest revision that it contains, 0 at first
   */
  public long revision() {
    return revision;
  }

  /**
   * Tells that nothing else has changed up to a revision.
   *
   * @param upTo the revision
   */
  public void advanceTo(long upTo) {
    revision = Math.max(revision, upTo);
  }

  /**
   * Takes an endpoint's entry.
   *
   * @param entry the entry
   * @param changedAt the revision of its last change
   * @return true if the entry is new or has changed
   */
  public boolean put(EndpointEntry entry, long changedAt) {
    VersionedEntry before = entries.get(entry.id());
    if (changedAt < removalRevisions.getOrDefault(entry.id(), 0L)
        || (before != null && before.revision() >= changedAt)) {
      return false;
    }
    removalRevisions.remove(entry.id());
    entries.put(entry.id(), new VersionedEntry(entry, changedAt));
    invalidateDerived();
    revision = Math.max(revision, changedAt);
    return before == null || !before.entry().equals(entry);
  }

  /**
   * Removes an endpoint.
   *
   * @param id the endpoint
   * @param changedAt the revision of its removal
   * @return true if it was known
   */
  public boolean remove(EndpointId id, long changedAt) {
    VersionedEntry before = entries.get(id);
    if (before != null && before.revision() > changedAt) {
      return false;
    }
    removalRevisions.merge(id, changedAt, Math::max);
    revision = Math.max(revision, changedAt);
    invalidateDerived();
    return entries.remove(id) != null;
  }

  private void invalidateDerived() {
    availableByService.clear();
    contentHash = UNKNOWN_HASH;
  }

  /**
   * Lists the endpoints that a full listing should have and does not.
   *
   * @param listed the endpoints of the listing
   * @param listedAt the lowest revision of the listing's pages
   * @return the endpoints in the order of their ids
   */
  public List<EndpointId> absentFrom(Collection<EndpointId> listed, long listedAt) {
    Set<EndpointId> there = Set.copyOf(listed);
    return entries.entrySet().stream()
        .filter(one -> !there.contains(one.getKey()) && one.getValue().revision() <= listedAt)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns an endpoint.
   *
   * @param id its id
   * @return the endpoint, if it is known
   */
  public Optional<EndpointEntry> find(EndpointId id) {
    return Optional.ofNullable(entries.get(id)).map(VersionedEntry::entry);
  }

  /**
   * Lists the endpoints of a service that take new work.
   *
   * @param service the service
   * @return the endpoints in the order of their ids
   */
  public List<EndpointEntry> available(ServiceId service) {
    return availableByService.computeIfAbsent(
        service,
        one ->
            entries.values().stream()
                .map(VersionedEntry::entry)
                .filter(entry -> entry.service().equals(one) && !entry.draining())
                .toList());
  }

  /**
   * Lists all endpoints with the revision of their last change.
   *
   * @return the entries in the order of their ids
   */
  public Map<EndpointEntry, Long> all() {
    return changedSince(Long.MIN_VALUE);
  }

  /**
   * Lists the endpoints that have changed and are still there.
   *
   * @param since the revision after which changes count
   * @return the entries with the revision of their last change, in the order of their ids
   */
  public Map<EndpointEntry, Long> changedSince(long since) {
    Map<EndpointEntry, Long> changed = new LinkedHashMap<>();
    entries.values().stream()
        .filter(one -> one.revision() > since)
        .forEach(one -> changed.put(one.entry(), one.revision()));
    return changed;
  }

  /**
   * Returns a hash by which two directories are compared.
   *
   * @return the same number for the same endpoints at the same revisions, on any instance
   */
  public int contentHash() {
    if (contentHash == UNKNOWN_HASH) {
      List<Object> content = new ArrayList<>();
      entries.forEach((id, one) -> content.addAll(List.of(id.value(), one.revision())));
      contentHash = content.hashCode();
    }
    return (int) contentHash;
  }

  /**
   * Lists the ids of all endpoints.
   *
   * @return the ids in their order
   */
  public List<EndpointId> ids() {
    return List.copyOf(entries.keySet());
  }
}
