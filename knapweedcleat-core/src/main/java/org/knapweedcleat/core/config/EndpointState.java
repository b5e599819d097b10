package org.knapweedcleat.core.config;

/** Whether an endpoint takes new work. */
public enum EndpointState {
  /** Takes new work. */
  ACTIVE,
  /** Finishes what it has and takes nothing new. */
  LEAVING;

  /**
   * Tells whether new work may be placed.
   *
   * @return true for an active endpoint
   */
  public boolean acceptsNewWork() {
    return this == ACTIVE;
  }
}
