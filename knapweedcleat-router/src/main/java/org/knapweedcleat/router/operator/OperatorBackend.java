package org.knapweedcleat.router.operator;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;

/** What the operators' port shows and sets off; called on any thread. */
public interface OperatorBackend {

  /**
   * Tells how far the instance is.
   *
   * @return the state
   */
  InstanceState state();

  /**
   * Gathers the status.
   *
   * @return the status
   */
  Uni<InstanceStatus> status();

  /**
   * Returns the audit trail.
   *
   * @return the trail
   */
  RingAuditTrail audit();

  /**
   * Returns the metrics.
   *
   * @return the registry
   */
  MetricRegistry metrics();

  /** Begins a planned stop; does nothing if one has begun. */
  void drain();
}
