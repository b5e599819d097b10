package org.knapweedcleat.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.schedule.PlacementDecision;

/** What endpoints may hold for a split request. */
final class EndpointMemory {

  private final Set<EndpointId> held = new HashSet<>();
  private final Set<EndpointId> unconfirmed = new HashSet<>();
  private int promptsSent;

  private EndpointMemory() {}

  static EndpointMemory create() {
    return new EndpointMemory();
  }

  /** The current placement may hold memory at an endpoint from now on. */
  void hold(EndpointId endpoint) {
    held.add(endpoint);
  }

  /** The endpoint certainly holds nothing for the current placement. */
  void drop(EndpointId endpoint) {
    held.remove(endpoint);
  }

  void promptSent() {
    promptsSent++;
  }

  void promptRefused() {
    promptsSent--;
  }

  /** Ends the current placement and returns the endpoints to cancel at. */
  List<EndpointId> release() {
    List<EndpointId> endpoints = List.copyOf(held);
    unconfirmed.addAll(held);
    held.clear();
    return endpoints;
  }

  void confirmed(EndpointId endpoint) {
    unconfirmed.remove(endpoint);
  }

  /** Tells whether a cancel that is under way could hit a placement. */
  boolean blocks(PlacementDecision.Split placement) {
    return unconfirmed.contains(placement.decode()) || unconfirmed.contains(placement.prefill());
  }

  /** Tells whether no endpoint has the prompt or memory for the request. */
  boolean isClean() {
    return promptsSent == 0 && held.isEmpty() && unconfirmed.isEmpty();
  }
}
