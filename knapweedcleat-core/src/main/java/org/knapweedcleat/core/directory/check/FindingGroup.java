package org.knapweedcleat.core.directory.check;

/** The groups of findings, of which only errors prevent publishing. */
public enum FindingGroup {
  /** The configuration would not be used. */
  ERROR("error"),
  /** An entry is never used, or no call reaches it. */
  NEVER_MATCHES("never matches"),
  /** Values contradict each other. */
  CONTRADICTION("contradiction"),
  /** The router uses another value than the one written. */
  REPLACED("replaced");

  private final String displayName;

  FindingGroup(String displayName) {
    this.displayName = displayName;
  }

  /**
   * Returns the name shown to operators.
   *
   * @return such as "never matches"
   */
  public String displayName() {
    return displayName;
  }
}
