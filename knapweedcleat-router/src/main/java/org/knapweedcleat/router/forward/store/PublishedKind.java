package org.knapweedcleat.router.forward.store;

/** The kinds of items that a platform publishes. */
public enum PublishedKind {
  /** What operators publish: the routing configuration, a single item, and evacuations. */
  CONFIG,
  /** The endpoints, one item each. */
  ENDPOINTS
}
