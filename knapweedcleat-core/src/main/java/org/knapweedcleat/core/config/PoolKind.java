package org.knapweedcleat.core.config;

/** How the endpoints of a pool share the work of a call. */
public enum PoolKind {
  /** Model engines that run prefill on one endpoint and decode on another. */
  SPLIT,
  /** Plain services that handle each call on a single endpoint. */
  PLAIN;

  /**
   * Returns whether an endpoint with the given role may belong to a pool of this kind.
   *
   * @param role the endpoint's role
   * @return true if the role is allowed
   */
  public boolean allows(EndpointRole role) {
    return (this == PLAIN) == (role == EndpointRole.PLAIN);
  }
}
