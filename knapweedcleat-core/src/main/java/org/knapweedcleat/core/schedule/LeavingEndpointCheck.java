package org.knapweedcleat.core.schedule;

import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.invariant.Invariant;
import org.knapweedcleat.core.invariant.InvariantMonitor;

/** Checks against the fleet document that a plan uses no leaving endpoint. */
final class LeavingEndpointCheck {

  private final InvariantMonitor monitor;

  private LeavingEndpointCheck(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  static LeavingEndpointCheck of(InvariantMonitor monitor) {
    return new LeavingEndpointCheck(monitor);
  }

  void check(FleetDocument document, PlacementPlan plan) {
    checkEndpoint(document, plan.runner());
    if (plan.prefill() != null) {
      checkEndpoint(document, plan.prefill());
    }
  }

  private void checkEndpoint(FleetDocument document, EndpointId endpoint) {
    EndpointSpec spec = document.endpoints().get(endpoint);
    boolean takesNewWork = spec != null && spec.state().acceptsNewWork();
    monitor.check(takesNewWork, Invariant.NO_WORK_FOR_LEAVING, endpoint);
  }
}
