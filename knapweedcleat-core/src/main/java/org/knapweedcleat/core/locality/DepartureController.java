package org.knapweedcleat.core.locality;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Decides for each service and home domain which fraction of calls may leave the domain, by the
 * wait there against the wait elsewhere, the delay and the price of leaving.
 *
 * <p>No call leaves until it would save {@link #FIRST_GAIN} of the price; from the whole price on
 * all may leave. A domain whose load is not known attracts no calls; it gets those that the home
 * domain cannot serve and for which no known domain has capacity.
 */
public final class DepartureController {

  /**
   * The part of the price at which the first calls leave. Below the whole price, so that the wait
   * of calls that stay does not exceed it.
   */
  private static final double FIRST_GAIN = 0.5;

  private final long reportLifetimeMillis;
  private final LinkBudget link;
  private final LocalityListener listener;
  private final Map<Origin, DepartureFraction> fractions = new HashMap<>();

  private record Origin(ServiceId service, FailureDomainId home) {}

  private DepartureController(
      long reportLifetimeMillis, LinkBudget link, LocalityListener listener) {
    this.reportLifetimeMillis = reportLifetimeMillis;
    this.link = link;
    this.listener = listener;
  }

  /**
   * Returns a controller that lets no calls leave yet.
   *
   * @param reportLifetimeMillis the age at which a report on the load of a domain expires
   * @param link the share of the link between regions
   * @param listener is told about changed fractions
   * @return the controller
   */
  public static DepartureController of(
      long reportLifetimeMillis, LinkBudget link, LocalityListener listener) {
    return new DepartureController(reportLifetimeMillis, link, listener);
  }

  /**
   * Decides for a call that may leave now.
   *
   * @param nowMillis the current time
   * @param service the call's service
   * @param home the call's home domain
   * @param homeWaitMillis the wait there; infinite if its endpoints cannot take the call now, empty
   *     if it has none
   * @param remoteDomains the other failure domains with endpoints
   * @return the decision
   */
  public Departure decide(
      long nowMillis,
      ServiceId service,
      FailureDomainId home,
      OptionalDouble homeWaitMillis,
      List<RemoteDomain> remoteDomains) {
    DepartureFraction fraction =
        fractions.computeIfAbsent(new Origin(service, home), origin -> new DepartureFraction());
    final double previous = fraction.inForce();
    double waitMillis = homeWaitMillis.orElse(Double.POSITIVE_INFINITY);
    boolean linkAvailable = link.isAvailable(nowMillis);
    List<RemoteDomain> known =
        remoteDomains.stream()
            .filter(remote -> remote.isKnown(reportLifetimeMillis) && remote.hasCapacity())
            .filter(remote -> linkAvailable || !remote.isOtherRegion())
            .toList();
    double bestGain =
        known.stream().mapToDouble(remote -> remote.gainRatio(waitMillis)).max().orElse(0);
    if (homeWaitMillis.isEmpty()) {
      fraction.release(nowMillis);
    } else {
      fraction.update(nowMillis, wantedFraction(bestGain));
    }
    if (fraction.inForce() != previous) {
      listener.onFractionChange(
          new FractionChange(
              service,
              home,
              previous,
              fraction.inForce(),
              waitMillis,
              known.stream()
                  .mapToDouble(remote -> remote.waitMillis() + remote.delayMillis())
                  .min()
                  .orElse(Double.POSITIVE_INFINITY),
              oldestReport(known)));
    }
    if (Double.isInfinite(waitMillis)) {
      return new Departure(1, lastResorts(known, remoteDomains));
    }
    return new Departure(
        fraction.inForce(), domains(known, remote -> remote.gainRatio(waitMillis) >= FIRST_GAIN));
  }

  /** Returns where a call may go that its home domain cannot serve. */
  private static Set<FailureDomainId> lastResorts(
      List<RemoteDomain> known, List<RemoteDomain> all) {
    boolean hasKnown = !known.isEmpty();
    boolean hasUnknown = all.stream().anyMatch(RemoteDomain::hasCapacity);
    return hasKnown
        ? domains(known, remote -> true)
        : domains(all, remote -> !hasUnknown || remote.hasCapacity());
  }

  private static Set<FailureDomainId> domains(
      List<RemoteDomain> remoteDomains, Predicate<RemoteDomain> filter) {
    return remoteDomains.stream()
        .filter(filter)
        .map(RemoteDomain::domain)
        .collect(Collectors.toSet());
  }

  private static double wantedFraction(double gain) {
    return Math.max(0, Math.min(1, (gain - FIRST_GAIN) / (1 - FIRST_GAIN)));
  }

  private static OptionalLong oldestReport(List<RemoteDomain> known) {
    return known.stream()
        .map(RemoteDomain::reportAgeMillis)
        .map(OptionalLong::getAsLong)
        .max(Comparator.naturalOrder())
        .map(OptionalLong::of)
        .orElseGet(OptionalLong::empty);
  }
}
