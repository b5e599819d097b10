package org.knapweedcleat.router.operator;

/** The lifecycle state of an instance. */
public enum InstanceState {
  /** No document has been applied yet. */
  STARTING("no document has been applied yet"),
  /** The instance waits for its share of the rate limits. */
  JOINING("waits for its share of the rate limits before it accepts requests"),
  /** The instance accepts requests. */
  READY("accepts requests"),
  /** The instance finishes running requests and accepts no new ones. */
  DRAINING("finishes running requests and accepts no new ones");

  private final String description;

  InstanceState(String description) {
    this.description = description;
  }

  /**
   * Tells whether the load balancer may send requests to the instance.
   *
   * @return true if requests are accepted
   */
  public boolean isReady() {
    return this == READY;
  }

  /**
   * Returns a description of the state.
   *
   * @return the description for operators
   */
  public String description() {
    return description;
  }
}
