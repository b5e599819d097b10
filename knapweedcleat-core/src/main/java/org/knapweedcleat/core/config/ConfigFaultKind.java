package org.knapweedcleat.core.config;

import java.util.Locale;

/** The kinds of configuration errors. */
public enum ConfigFaultKind {
  /** The text is not valid INI. */
  UNREADABLE,
  /** A key appears before the first section. */
  KEY_OUTSIDE_SECTION,
  /** A section is of an unknown kind or has an invalid name. */
  UNKNOWN_SECTION,
  /** A section occurs more than once. */
  REPEATED_SECTION,
  /** A required section is missing. */
  MISSING_SECTION,
  /** A key is not defined for its section. */
  UNKNOWN_KEY,
  /** A key occurs more than once in its section. */
  REPEATED_KEY,
  /** A required key is missing. */
  MISSING_KEY,
  /** A value has the wrong type or is out of range. */
  BAD_VALUE,
  /** A reference names a section that does not exist. */
  UNRESOLVED_REFERENCE,
  /** Two routes have the same method and path. */
  ROUTE_CLASH,
  /** The role of an endpoint is not allowed in its pool. */
  ROLE_NOT_ALLOWED,
  /** Two API keys have the same digest. */
  REPEATED_DIGEST,
  /** Two endpoints have the same address. */
  REPEATED_ADDRESS,
  /** Two links connect the same regions, or a link connects a region to itself. */
  REPEATED_LINK,
  /** A value is not allowed in combination with another value. */
  UNSUITABLE_VALUE,
  /** A manifest of document parts is malformed. */
  BAD_MANIFEST;

  /**
   * Returns the name shown to operators.
   *
   * @return such as "unknown key"
   */
  public String displayName() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
