package org.knapweedcleat.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementDecision;

/** What endpoints may hold for a split request. */
final class EndpointMemoryTracker {

  private final Set<EndpointId> holders = new HashSet<>();
  private final Set<EndpointId> pendingReleases = new HashSet<>();
  private int promptsSent;

  private EndpointMemoryTracker() {}

  static EndpointMemoryTracker create() {
    return new EndpointMemoryTracker();
  }

  /** The current placement may hold memory at an endpoint from now on. */
  void addHolder(EndpointId endpoint) {
    holders.add(endpoint);
  }

  /** The endpoint certainly holds nothing for the current placement. */
  void removeHolder(EndpointId endpoint) {
    holders.remove(endpoint);
  }

  void recordPromptSent() {
    promptsSent++;
  }

  void undoPromptSent() {
    promptsSent--;
  }

  /** Ends the current placement and returns the endpoints to cancel at. */
  List<EndpointId> releaseAll() {
    List<EndpointId> endpoints = List.copyOf(holders);
    pendingReleases.addAll(holders);
    holders.clear();
    return endpoints;
  }

  void confirmRelease(EndpointId endpoint) {
    pendingReleases.remove(endpoint);
  }

  /** Tells whether a cancel that is under way could hit a placement. */
  boolean hasPendingRelease(PlacementDecision.Split placement) {
    return pendingReleases.contains(placement.decode()) || pendingReleases.contains(placement.prefill());
  }

  /** Tells whether no endpoint has the prompt or memory for the request. */
  boolean hasNoEffects() {
    return promptsSent == 0 && holders.isEmpty() && pendingReleases.isEmpty();
  }
}
