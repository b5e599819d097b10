package org.knapweedcleat.router.gate;

import org.knapweedcleat.core.id.IncarnationId;

/** Reports that an incarnation did not answer. */
public final class InstanceUnreachableException extends RuntimeException {

  private final IncarnationId target;
  private final boolean requestMayHaveArrived;

  /**
   * Creates the report.
   *
   * @param target the incarnation that was asked
   * @param questionMayHaveArrived false only if no byte of the question left
   */
  public InstanceUnreachableException(IncarnationId target, boolean questionMayHaveArrived) {
    super("no answer from " + target);
    this.target = target;
    this.requestMayHaveArrived = questionMayHaveArrived;
  }

  /**
   * Returns the incarnation that was asked.
   *
   * @return the incarnation
   */
  public IncarnationId target() {
    return target;
  }

  /**
   * Tells whether the question may have had effects.
   *
   * @return false only if no byte of it left
   */
  public boolean requestMayHaveArrived() {
    return requestMayHaveArrived;
  }
}
