package org.knapweedcleat.router.operator;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;

/** Data and commands for the operator server; its methods may be called on any thread. */
public interface OperatorBackend {

  /**
   * Returns the state of the instance.
   *
   * @return the state
   */
  InstanceState state();

  /**
   * Collects the status of the instance.
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
   * Returns the metric registry.
   *
   * @return the registry
   */
  MetricRegistry metrics();

  /** Starts to drain the instance; does nothing if it is already draining. */
  void drain();
}
