package org.knapweedcleat.core.order;

/** The kinds of orders to an engine. */
public enum OrderKind {
  /** Load a model. Loading it again, or loading an outdated one in addition, is harmless. */
  LOAD_MODEL(true),
  /** Set the role. A delayed old order would undo a newer one. */
  SET_ROLE(false);

  private final boolean safeToReorder;

  OrderKind(boolean safeToReorder) {
    this.safeToReorder = safeToReorder;
  }

  /**
   * Returns whether orders of this kind may be sent to an engine.
   *
   * @param checksFencing whether the engine rejects orders with outdated fencing numbers
   * @return true unless an old order could undo a newer one there
   */
  public boolean isAllowedFor(boolean checksFencing) {
    return checksFencing || safeToReorder;
  }
}
