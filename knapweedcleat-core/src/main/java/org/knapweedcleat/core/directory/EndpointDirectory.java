package org.knapweedcleat.core.directory;

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
  private static final int MAX_REMOVED = 2_000;

  private final Map<EndpointId, Known> known = new TreeMap<>();
  private final Map<EndpointId, Long> removedAt =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Long> eldest) {
          return size() > MAX_REMOVED;
        }
      };
  private final Map<ServiceId, List<EndpointEntry>> usable = new HashMap<>();
  private long revision;

  private record Known(EndpointEntry entry, long revision) {}

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
  public void advance(long upTo) {
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
    Known before = known.get(entry.id());
    if (changedAt < removedAt.getOrDefault(entry.id(), 0L)
        || (before != null && before.revision() >= changedAt)) {
      return false;
    }
    removedAt.remove(entry.id());
    known.put(entry.id(), new Known(entry, changedAt));
    usable.clear();
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
    Known before = known.get(id);
    if (before != null && before.revision() > changedAt) {
      return false;
    }
    removedAt.merge(id, changedAt, Math::max);
    revision = Math.max(revision, changedAt);
    usable.clear();
    return known.remove(id) != null;
  }

  /**
   * Lists the endpoints that a full listing should have and does not.
   *
   * @param listed the endpoints of the listing
   * @param listedAt the lowest revision of the listing's pages
   * @return the endpoints in the order of their ids
   */
  public List<EndpointId> missing(Collection<EndpointId> listed, long listedAt) {
    Set<EndpointId> there = Set.copyOf(listed);
    return known.entrySet().stream()
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
    return Optional.ofNullable(known.get(id)).map(Known::entry);
  }

  /**
   * Lists the endpoints of a service that take new work.
   *
   * @param service the service
   * @return the endpoints in the order of their ids
   */
  public List<EndpointEntry> usable(ServiceId service) {
    return usable.computeIfAbsent(
        service,
        one ->
            known.values().stream()
                .map(Known::entry)
                .filter(entry -> entry.service().equals(one) && !entry.draining())
                .toList());
  }

  /**
   * Lists all endpoints with the revision of their last change.
   *
   * @return the entries in the order of their ids
   */
  public Map<EndpointEntry, Long> all() {
    Map<EndpointEntry, Long> all = new LinkedHashMap<>();
    known.values().forEach(one -> all.put(one.entry(), one.revision()));
    return all;
  }
}
