package org.knapweedcleat.core.config;

/** Whether an endpoint accepts new work. */
public enum EndpointState {
  /** Accepts new work. */
  ACTIVE,
  /** Finishes its current work and accepts no more. */
  LEAVING;

  /**
   * Returns whether new work may be placed on the endpoint.
   *
   * @return true for an active endpoint
   */
  public boolean acceptsNewWork() {
    return this == ACTIVE;
  }
}
