package org.knapweedcleat.router.platform;

/** Signals that a call to the platform failed. */
public final class PlatformException extends RuntimeException {

  private final PlatformFault fault;

  private PlatformException(PlatformFault fault, Throwable cause) {
    super(fault.name(), cause);
    this.fault = fault;
  }

  /**
   * Creates an exception without a cause.
   *
   * @param fault the reason for the failure
   * @return the exception
   */
  public static PlatformException of(PlatformFault fault) {
    return new PlatformException(fault, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param fault the reason for the failure
   * @param cause the underlying failure
   * @return the exception
   */
  public static PlatformException of(PlatformFault fault, Throwable cause) {
    return new PlatformException(fault, cause);
  }

  /**
   * Returns the reason for the failure.
   *
   * @return the fault
   */
  public PlatformFault fault() {
    return fault;
  }
}
