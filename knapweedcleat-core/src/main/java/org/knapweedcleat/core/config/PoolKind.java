package org.knapweedcleat.core.config;

/** How the endpoints of a pool do their work. */
public enum PoolKind {
  /** Model engines: prefill on one endpoint, decode on another. */
  SPLIT,
  /** Plain services: one call to one endpoint. */
  PLAIN;

  /**
   * Tells whether an endpoint with the given role may belong to a pool of this kind.
   *
   * @param role the endpoint's role
   * @return true if it may
   */
  public boolean allows(EndpointRole role) {
    return (this == PLAIN) == (role == EndpointRole.PLAIN);
  }
}
