package org.knapweedcleat.core.directory.check;

import java.util.Locale;

/** The sections of a published configuration. */
public enum ConfigSection {
  /** The configuration itself. */
  CONFIGURATION,
  /** A route. */
  ROUTE,
  /** A service. */
  SERVICE,
  /** A client account. */
  ACCOUNT,
  /** The limits on requests. */
  LIMITS;

  /**
   * Returns the name shown to operators.
   *
   * @return such as "route"
   */
  public String displayName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
