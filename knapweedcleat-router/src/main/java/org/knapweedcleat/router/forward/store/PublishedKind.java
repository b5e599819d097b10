package org.knapweedcleat.router.forward.store;

/** The kinds of items that a platform publishes. */
public enum PublishedKind {
  /** The routing configuration, a single item. */
  CONFIG,
  /** The endpoints, one item each. */
  ENDPOINTS
}
