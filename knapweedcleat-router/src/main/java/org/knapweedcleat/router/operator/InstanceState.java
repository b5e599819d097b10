package org.knapweedcleat.router.operator;

/** How far an instance is. */
public enum InstanceState {
  /** No document has been applied yet. */
  STARTING("no document has been applied yet"),
  /** Waits for its share of the limits before it takes requests. */
  JOINING("waits for its share of the limits before it takes requests"),
  /** Takes requests. */
  READY("takes requests"),
  /** Finishes running requests and takes no new ones. */
  DRAINING("finishes running requests and takes no new ones");

  private final String description;

  InstanceState(String description) {
    this.description = description;
  }

  /**
   * Tells whether the balancer may send requests.
   *
   * @return true while requests are taken
   */
  public boolean isReady() {
    return this == READY;
  }

  /**
   * Returns what the state means.
   *
   * @return a phrase for operators
   */
  public String description() {
    return description;
  }
}
