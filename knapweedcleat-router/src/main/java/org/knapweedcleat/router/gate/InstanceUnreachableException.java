package org.knapweedcleat.router.gate;

import org.knapweedcleat.core.id.IncarnationId;

/** Thrown when an incarnation does not reply to a request. */
public final class InstanceUnreachableException extends RuntimeException {

  private final IncarnationId target;
  private final boolean requestMayHaveArrived;

  /**
   * Creates an exception.
   *
   * @param target the incarnation to which the request was addressed
   * @param questionMayHaveArrived false only if no byte of the request was sent
   */
  public InstanceUnreachableException(IncarnationId target, boolean questionMayHaveArrived) {
    super("no answer from " + target);
    this.target = target;
    this.requestMayHaveArrived = questionMayHaveArrived;
  }

  /**
   * Returns the incarnation to which the request was addressed.
   *
   * @return the incarnation
   */
  public IncarnationId target() {
    return target;
  }

  /**
   * Returns whether the request may have had an effect.
   *
   * @return false only if no byte of it was sent
   */
  public boolean requestMayHaveArrived() {
    return requestMayHaveArrived;
  }
}
