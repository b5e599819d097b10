package org.knapweedcleat.core.fleet;

/** The instance that made an observation which instances report to each other. */
public enum ObservationSource {
  /** This instance. */
  LOCAL("its response"),
  /** Another instance of this instance's failure domain. */
  OWN_DOMAIN("another instance"),
  /** An instance of another failure domain. */
  OTHER_DOMAIN("another instance");

  private final String label;

  ObservationSource(String label) {
    this.label = label;
  }

  /**
   * Returns the name to log.
   *
   * @return the name
   */
  public String label() {
    return label;
  }
}
