package org.knapweedcleat.core.config;

import java.util.Locale;

/** What can be wrong with settings. */
public enum ConfigFaultKind {
  /** The text is no INI at all. */
  UNREADABLE,
  /** A key stands before the first section. */
  KEY_OUTSIDE_SECTION,
  /** A section of an unknown kind or with a bad name. */
  UNKNOWN_SECTION,
  /** A section that occurs twice. */
  REPEATED_SECTION,
  /** A section that has to be there is missing. */
  MISSING_SECTION,
  /** A key that the section does not know. */
  UNKNOWN_KEY,
  /** A key that occurs twice in its section. */
  REPEATED_KEY,
  /** A key that has no default is missing. */
  MISSING_KEY,
  /** A value of the wrong type or out of its range. */
  BAD_VALUE,
  /** A name that no section declares. */
  UNRESOLVED_REFERENCE,
  /** Two routes with the same method and path. */
  ROUTE_CLASH,
  /** An endpoint whose role does not suit its pool. */
  ROLE_NOT_ALLOWED,
  /** Two keys with the same digest. */
  REPEATED_DIGEST,
  /** Two endpoints with the same address. */
  REPEATED_ADDRESS,
  /** Two links between the same regions. */
  REPEATED_LINK,
  /** A value that does not suit another one. */
  UNSUITABLE_VALUE,
  /** A manifest of parts that cannot be read. */
  BAD_MANIFEST;

  /**
   * Returns the kind for operators.
   *
   * @return such as "unknown key"
   */
  public String displayName() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
