package org.knapweedcleat.core.directory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.StorePosition;

/**
 * The failure domains that operators have evacuated, versioned by the position of each change.
 *
 * <p>Changes may arrive repeatedly and, from other instances, late; the one with the latest
 * position wins, so ended evacuations are remembered. A store that was restored from a copy may
 * lack an evacuation that was published after the copy was made: it stays in force for {@link
 * #HOLD_MILLIS}, in which operators publish it again. After its end, a domain takes a share of the
 * calls that grows over {@link #RETURN_MILLIS}.
 */
public final class DomainEvacuations {

  /** Operators and endpoints renew what a restored store has lost within this time. */
  static final long HOLD_MILLIS = 5_000;

  /**
   * Several times the duration of most calls, so that the load on a returning domain is known
   * before the next calls are placed there.
   */
  public static final long RETURN_MILLIS = 10_000;

  private final Map<FailureDomainId, Change> changes = new LinkedHashMap<>();
  private final Map<FailureDomainId, Hold> holds = new LinkedHashMap<>();
  private final Map<FailureDomainId, Long> returningSinceMillis = new LinkedHashMap<>();
  private StorePosition position = StorePosition.NONE;

  /**
   * The latest change to the evacuation of a domain.
   *
   * @param domain the failure domain
   * @param evacuated whether the change began the evacuation
   * @param position the position of the change
   */
  public record Change(FailureDomainId domain, boolean evacuated, StorePosition position) {}

  /** An evacuation that a restored store lacks. */
  private record Hold(StorePosition position, long untilMillis) {}

  private DomainEvacuations() {}

  /**
   * Returns a registry by which no domain is evacuated.
   *
   * @return the registry
   */
  public static DomainEvacuations create() {
    return new DomainEvacuations();
  }

  /**
   * Applies a change that the store or another instance has reported. Changes up to the position of
   * the registry that it does not know of have been undone since.
   *
   * @param nowMillis the current time
   * @param change the change
   * @return true if the domain was not evacuated before and is now, or the reverse
   */
  public boolean apply(long nowMillis, Change change) {
    Change previous = changes.get(change.domain());
    StorePosition known = previous == null ? position : previous.position();
    if (change.position().compareTo(known) <= 0) {
      return false;
    }
    changes.put(change.domain(), change);
    holds.remove(change.domain());
    boolean wasEvacuated = previous != null && previous.evacuated();
    if (change.evacuated()) {
      returningSinceMillis.remove(change.domain());
    } else if (wasEvacuated) {
      returningSinceMillis.put(change.domain(), nowMillis);
    }
    return wasEvacuated != change.evacuated();
  }

  /**
   * Applies a full listing: ends the evacuations that it lacks, those of an earlier era after a
   * time.
   *
   * @param nowMillis the current time
   * @param listed the domains that the listing names
   * @param listingPosition the position up to which the listing is complete
   * @return the domains whose evacuation has ended
   */
  public List<FailureDomainId> endAbsent(
      long nowMillis, Set<FailureDomainId> listed, StorePosition listingPosition) {
    List<FailureDomainId> ended = new ArrayList<>();
    for (Change change : List.copyOf(changes.values())) {
      if (!change.evacuated()
          || listed.contains(change.domain())
          || change.position().compareTo(listingPosition) >= 0) {
        continue;
      }
      if (listingPosition.isOfLaterEra(change.position())) {
        holds.putIfAbsent(change.domain(), new Hold(listingPosition, nowMillis + HOLD_MILLIS));
      } else if (apply(nowMillis, new Change(change.domain(), false, listingPosition))) {
        ended.add(change.domain());
      }
    }
    advanceTo(listingPosition);
    return ended;
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
   * Ends the evacuations that a restored store has lost and operators have not published again.
   *
   * @param nowMillis the current time
   * @return the domains whose evacuation has ended
   */
  public List<FailureDomainId> endExpired(long nowMillis) {
    if (holds.isEmpty()) {
      return List.of();
    }
    List<FailureDomainId> ended = new ArrayList<>();
    Map.copyOf(holds)
        .forEach(
            (domain, hold) -> {
              if (nowMillis >= hold.untilMillis()
                  && apply(nowMillis, new Change(domain, false, hold.position()))) {
                ended.add(domain);
              }
            });
    return ended;
  }

  /**
   * Returns whether a domain is evacuated.
   *
   * @param domain the failure domain
   * @return true if nothing may be sent to its endpoints
   */
  public boolean isEvacuated(FailureDomainId domain) {
    Change change = changes.get(domain);
    return change != null && change.evacuated();
  }

  /**
   * Returns the time until a domain that returns from an evacuation takes a call.
   *
   * @param nowMillis the current time
   * @param domain the failure domain
   * @param requestId the id of the call's request, which decides when it may be sent, so that
   *     different instances agree
   * @return milliseconds, 0 if the domain takes the call now
   */
  public long millisUntilReturned(long nowMillis, FailureDomainId domain, String requestId) {
    Long sinceMillis = returningSinceMillis.get(domain);
    if (sinceMillis == null) {
      return 0;
    }
    if (nowMillis - sinceMillis >= RETURN_MILLIS) {
      returningSinceMillis.remove(domain);
      return 0;
    }
    return Math.max(0, sinceMillis + Math.round(RETURN_MILLIS * share(requestId)) - nowMillis);
  }

  /** Returns a number from 0 to 1, evenly distributed over ids that differ little. */
  private static double share(String requestId) {
    // The finalizer of MurmurHash3, since the low bits of a string's hash code are not spread.
    int hash = requestId.hashCode();
    hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
    hash = (hash ^ (hash >>> 13)) * 0xc2b2ae35;
    hash ^= hash >>> 16;
    return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
  }

  /**
   * Returns whether all domains are in full use.
   *
   * @return false while a domain is evacuated or returns
   */
  public boolean isInactive() {
    return returningSinceMillis.isEmpty() && changes.values().stream().noneMatch(Change::evacuated);
  }

  /**
   * Lists the latest change of each domain that was ever evacuated.
   *
   * @return the changes
   */
  public List<Change> changes() {
    return List.copyOf(changes.values());
  }
}
