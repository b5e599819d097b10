package org.knapweedcleat.core.directory;

/**
 * A published value that is not used, while the rest of what is published remains in force.
 *
 * @param kind the kind of fault
 * @param subject what the value belongs to
 * @param value the value
 */
public record PublishedFault(Kind kind, String subject, String value) {

  /** The kinds of fault. */
  public enum Kind {
    /** An evacuation names a failure domain that the settings do not have. */
    UNKNOWN_DOMAIN,
    /** A restriction names a region that the settings do not have. */
    UNKNOWN_REGION,
    /** The time for which an endpoint stays cold is negative or no number. */
    INVALID_COLD_TIME,
    /** An endpoint states to stay cold for longer than its service's endpoints do. */
    IMPLAUSIBLE_COLD_TIME
  }
}
