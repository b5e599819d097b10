package org.knapweedcleat.core.balance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.locality.Departure;
import org.knapweedcleat.core.locality.DepartureController;
import org.knapweedcleat.core.locality.LinkBudget;
import org.knapweedcleat.core.locality.LocalityListener;
import org.knapweedcleat.core.locality.RemoteDomain;

/** Reduces the candidates of a call to its home domain, unless the call may leave it. */
public final class HomeDomainFilter {

  /** Price of leaving the region, as a multiple of that of leaving only the domain. */
  private static final int REGION_PRICE_FACTOR = 3;

  private final DepartureController controller;
  private final LinkBudget link;
  private final LocalityListener listener;
  private final ReportAges reportAges;
  private final int interDomainCostMillis;
  private final DoubleSupplier random;

  /** Tells how old the reports on the load of a failure domain are. */
  @FunctionalInterface
  public interface ReportAges {

    /**
     * Returns the age of the reports on a failure domain.
     *
     * @param nowMillis the current time
     * @param domain the failure domain
     * @return milliseconds; empty if there are no reports
     */
    OptionalLong ageMillis(long nowMillis, FailureDomainId domain);
  }

  private HomeDomainFilter(
      int interDomainCostMillis,
      long reportLifetimeMillis,
      LinkBudget link,
      ReportAges reportAges,
      LocalityListener listener,
      DoubleSupplier random) {
    this.controller = DepartureController.of(reportLifetimeMillis, link, listener);
    this.link = link;
    this.listener = listener;
    this.reportAges = reportAges;
    this.interDomainCostMillis = interDomainCostMillis;
    this.random = random;
  }

  /**
   * Returns a filter.
   *
   * @param interDomainCostMillis the wait that is accepted for keeping a call in its domain, above
   *     0
   * @param reportLifetimeMillis the age at which a report of another instance expires
   * @param link the share of the link between regions
   * @param reportAges the ages of reports on the load of failure domains
   * @param listener is told about decisions
   * @param random supplies numbers from 0 (inclusive) to 1 (exclusive)
   * @return the filter
   */
  public static HomeDomainFilter of(
      int interDomainCostMillis,
      long reportLifetimeMillis,
      LinkBudget link,
      ReportAges reportAges,
      LocalityListener listener,
      DoubleSupplier random) {
    return new HomeDomainFilter(
        interDomainCostMillis, reportLifetimeMillis, link, reportAges, listener, random);
  }

  /**
   * Returns the candidates that a call may use.
   *
   * @param nowMillis the current time
   * @param topology the failure domains as seen from the call's home domain
   * @param candidates the endpoints that may serve the call
   * @param waitMillis the wait at the given endpoints of one domain; infinite if none of them can
   *     take the call now
   * @return the candidates of the home domain, with those of other domains if the call may leave
   */
  List<EndpointEntry> filter(
      long nowMillis,
      DomainTopology topology,
      List<EndpointEntry> candidates,
      ToDoubleFunction<List<EndpointEntry>> waitMillis) {
    if (candidates.isEmpty()) {
      return candidates;
    }
    ServiceId service = candidates.get(0).service();
    FailureDomainId home = topology.local();
    Map<FailureDomainId, List<EndpointEntry>> byDomain =
        candidates.stream()
            .collect(
                Collectors.groupingBy(
                    EndpointEntry::domain, LinkedHashMap::new, Collectors.toList()));
    List<EndpointEntry> atHome = byDomain.getOrDefault(home, List.of());
    OptionalDouble homeWaitMillis =
        atHome.isEmpty()
            ? OptionalDouble.empty()
            : OptionalDouble.of(waitMillis.applyAsDouble(atHome));
    List<RemoteDomain> remoteDomains = new ArrayList<>();
    byDomain.forEach(
        (domain, entries) -> {
          if (!domain.equals(home)) {
            remoteDomains.add(
                remote(nowMillis, topology, domain, waitMillis.applyAsDouble(entries)));
          }
        });
    Departure departure =
        controller.decide(nowMillis, service, home, homeWaitMillis, remoteDomains);
    if (!mayLeave(departure)) {
      return atHome;
    }
    List<EndpointEntry> allowed =
        candidates.stream()
            .filter(
                entry ->
                    entry.domain().equals(home)
                        || departure.destinations().contains(entry.domain()))
            .toList();
    return allowed.isEmpty() ? candidates : allowed;
  }

  private boolean mayLeave(Departure departure) {
    boolean isCertain = departure.fraction() <= 0 || departure.fraction() >= 1;
    return departure.mayLeave(isCertain ? 0 : random.getAsDouble());
  }

  private RemoteDomain remote(
      long nowMillis, DomainTopology topology, FailureDomainId domain, double waitMillis) {
    NetworkDistance distance = topology.distanceToLocal(domain);
    return new RemoteDomain(
        domain,
        waitMillis,
        distance.roundTripMillis(),
        priceMillis(distance),
        distance == NetworkDistance.OTHER_REGION,
        reportAges.ageMillis(nowMillis, domain));
  }

  /** Returns the wait that is accepted for not sending bytes over a distance. */
  double priceMillis(NetworkDistance distance) {
    return switch (distance) {
      case SAME_DOMAIN -> 0;
      case SAME_REGION -> interDomainCostMillis;
      case OTHER_REGION -> (double) interDomainCostMillis * REGION_PRICE_FACTOR;
    };
  }

  /**
   * Records which endpoint was selected for a call.
   *
   * @param nowMillis the current time
   * @param topology the failure domains as seen from the call's home domain
   * @param selected the endpoint
   * @param bytes the bytes of the call, which count if the endpoint is in another region
   */
  void recordSelection(
      long nowMillis, DomainTopology topology, EndpointEntry selected, long bytes) {
    listener.onCall(selected.service(), topology.local(), selected.domain());
    if (topology.distanceToLocal(selected.domain()) == NetworkDistance.OTHER_REGION) {
      link.charge(nowMillis, bytes);
    }
  }
}
