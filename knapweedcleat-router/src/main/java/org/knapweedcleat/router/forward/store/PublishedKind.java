package org.knapweedcleat.router.forward.store;

/** What a platform publishes. */
public enum PublishedKind {
  /** The configuration, as one item. */
  CONFIG,
  /** The endpoints, each as an item. */
  ENDPOINTS
}
