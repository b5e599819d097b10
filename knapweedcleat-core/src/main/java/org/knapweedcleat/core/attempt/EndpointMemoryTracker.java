package org.knapweedcleat.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementDecision;

/** Tracks which endpoints may hold memory or the prompt of a split request. */
final class EndpointMemoryTracker {

  private final Set<EndpointId> holders = new HashSet<>();
  private final Set<EndpointId> pendingReleases = new HashSet<>();
  private int promptsSent;

  private EndpointMemoryTracker() {}

  static EndpointMemoryTracker create() {
    return new EndpointMemoryTracker();
  }

  /** Records that an endpoint may hold memory for the current placement. */
  void addHolder(EndpointId endpoint) {
    holders.add(endpoint);
  }

  /** Records that an endpoint certainly holds nothing for the current placement. */
  void removeHolder(EndpointId endpoint) {
    holders.remove(endpoint);
  }

  void recordPromptSent() {
    promptsSent++;
  }

  void undoPromptSent() {
    promptsSent--;
  }

  /** Ends the current placement and returns the endpoints that need a cancellation. */
  List<EndpointId> releaseAll() {
    List<EndpointId> endpoints = List.copyOf(holders);
    pendingReleases.addAll(holders);
    holders.clear();
    return endpoints;
  }

  void confirmRelease(EndpointId endpoint) {
    pendingReleases.remove(endpoint);
  }

  /** Returns whether an unconfirmed cancellation could affect the given placement. */
  boolean hasPendingRelease(PlacementDecision.Split placement) {
    return pendingReleases.contains(placement.decode())
        || pendingReleases.contains(placement.prefill());
  }

  /** Returns whether no endpoint has the prompt or memory for the request. */
  boolean hasNoEffects() {
    return promptsSent == 0 && holders.isEmpty() && pendingReleases.isEmpty();
  }
}
