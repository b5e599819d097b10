package org.knapweedcleat.core.throttle;

import java.util.Map;
import org.knapweedcleat.core.collection.BoundedMap;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.id.IncarnationId;

/**
 * Delays the change of the instance that issues the permits of an endpoint, since other instances
 * may still use the previous one.
 */
public final class IssuerHandover {

  /** Longer than the instances of a fleet usually differ on which of them are live. */
  static final long HANDOVER_MILLIS = 2_000;

  /** Far more than the endpoints of any deployment; the oldest entries are dropped. */
  private static final int MAX_ENTRIES = 4_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final Map<EndpointIncarnation, Issuer> issuers = BoundedMap.of(MAX_ENTRIES);

  private record Issuer(IncarnationId incarnation, long changedAtMillis) {}

  private IssuerHandover() {}

  /**
   * Returns a handover without known issuers.
   *
   * @return the handover
   */
  public static IssuerHandover create() {
    return new IssuerHandover();
  }

  /**
   * Records which instance is the issuer, in the view of this one.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param issuer the instance that is considered to be its issuer
   * @return true if it was not considered so before
   */
  public boolean record(long nowMillis, EndpointIncarnation endpoint, IncarnationId issuer) {
    Issuer previous = issuers.get(endpoint);
    if (previous != null && previous.incarnation().equals(issuer)) {
      return false;
    }
    issuers.put(endpoint, new Issuer(issuer, previous == null ? NEVER_MILLIS : nowMillis));
    return true;
  }

  /**
   * Returns whether the recorded issuer of an endpoint may be used.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @return false if it has changed less than {@link #HANDOVER_MILLIS} ago, or none is recorded
   */
  public boolean isSettled(long nowMillis, EndpointIncarnation endpoint) {
    Issuer issuer = issuers.get(endpoint);
    return issuer != null && nowMillis - issuer.changedAtMillis() >= HANDOVER_MILLIS;
  }
}
