package org.knapweedcleat.core.order;

/** What an engine can be told. */
public enum OrderKind {
  /** Load a model; loading it again, or loading an older one besides, does no harm. */
  LOAD_MODEL(true),
  /** Change the role; an old order that comes late would undo a newer one. */
  SET_ROLE(false);

  private final boolean safeToReorder;

  OrderKind(boolean safeToReorder) {
    this.safeToReorder = safeToReorder;
  }

  /**
   * Tells whether the order may be given to an engine.
   *
   * @param checksFencing whether the engine refuses orders with an old fencing number
   * @return true unless an old order could undo a newer one there
   */
  public boolean isAllowedFor(boolean checksFencing) {
    return checksFencing || safeToReorder;
  }
}
