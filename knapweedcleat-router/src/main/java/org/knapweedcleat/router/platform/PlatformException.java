package org.knapweedcleat.router.platform;

/** Reports that a call to the platform brought nothing. */
public final class PlatformException extends RuntimeException {

  private final PlatformFault fault;

  private PlatformException(PlatformFault fault, Throwable cause) {
    super(fault.name(), cause);
    this.fault = fault;
  }

  /**
   * Returns a report without a cause.
   *
   * @param fault why
   * @return the report
   */
  public static PlatformException of(PlatformFault fault) {
    return new PlatformException(fault, null);
  }

  /**
   * Returns a report with a cause.
   *
   * @param fault why
   * @param cause the failure underneath
   * @return the report
   */
  public static PlatformException of(PlatformFault fault, Throwable cause) {
    return new PlatformException(fault, cause);
  }

  /**
   * Returns why the call brought nothing.
   *
   * @return the fault
   */
  public PlatformFault fault() {
    return fault;
  }
}
