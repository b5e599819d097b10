package org.knapweedcleat.core.balance;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.knapweedcleat.core.directory.DomainEvacuations;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.RegionRestriction;

/**
 * Decides whether an endpoint may take a call now, and if not, when: by the regions that the call
 * may be served in, the evacuations of failure domains, and what the endpoint has announced. Unlike
 * {@link EndpointHealth}, this is binding even if there is no other endpoint.
 */
public final class EndpointEligibility {

  private final DomainTopology topology;
  private final DomainEvacuations evacuations;
  private final EndpointAvailability availability;

  private EndpointEligibility(
      DomainTopology topology, DomainEvacuations evacuations, EndpointAvailability availability) {
    this.topology = topology;
    this.evacuations = evacuations;
    this.availability = availability;
  }

  /**
   * Returns the decision for an instance.
   *
   * @param topology the region of each failure domain
   * @param evacuations the evacuated failure domains
   * @param availability what endpoints have announced
   * @return the decision
   */
  public static EndpointEligibility of(
      DomainTopology topology, DomainEvacuations evacuations, EndpointAvailability availability) {
    return new EndpointEligibility(topology, evacuations, availability);
  }

  /**
   * Decides on one endpoint.
   *
   * @param nowMillis the current time
   * @param endpoint the endpoint
   * @param restriction the regions that the call may be served in
   * @param requestId the id of the call's request
   * @return the verdict
   */
  public Eligibility check(
      long nowMillis, EndpointEntry endpoint, RegionRestriction restriction, String requestId) {
    if (!restriction.allows(topology.region(endpoint.domain()))) {
      return Eligibility.not(IneligibilityReason.REGION_NOT_ALLOWED);
    }
    if (evacuations.isEvacuated(endpoint.domain())) {
      return Eligibility.not(IneligibilityReason.EVACUATED);
    }
    Eligibility announced = availability.check(nowMillis, endpoint);
    if (!announced.isEligible()) {
      return announced;
    }
    long returnsInMillis = evacuations.millisUntilReturned(nowMillis, endpoint.domain(), requestId);
    return returnsInMillis > 0
        ? Eligibility.notYet(IneligibilityReason.RETURNING, returnsInMillis)
        : Eligibility.ELIGIBLE;
  }

  /**
   * Returns the endpoints that may take a call now. Those of domains that return from an evacuation
   * are not left out if no other endpoint can run the call.
   *
   * @param nowMillis the current time
   * @param endpoints the endpoints
   * @param restriction the regions that the call may be served in
   * @param requestId the id of the call's request
   * @return the endpoints in the same order
   */
  public List<EndpointEntry> eligible(
      long nowMillis,
      List<EndpointEntry> endpoints,
      RegionRestriction restriction,
      String requestId) {
    if (restriction.allowsAll() && evacuations.isInactive() && availability.allAvailable()) {
      return endpoints;
    }
    List<EndpointEntry> eligible = new ArrayList<>(endpoints.size());
    List<EndpointEntry> returning = new ArrayList<>();
    for (EndpointEntry endpoint : endpoints) {
      Eligibility verdict = check(nowMillis, endpoint, restriction, requestId);
      if (verdict.isEligible()) {
        eligible.add(endpoint);
      } else if (verdict.reason().get() == IneligibilityReason.RETURNING) {
        returning.add(endpoint);
      }
    }
    if (!returning.isEmpty() && eligible.stream().noneMatch(one -> one.stage().runsRequests())) {
      eligible.addAll(returning);
    }
    return eligible;
  }

  /**
   * Explains why no endpoint may take a call.
   *
   * @param nowMillis the current time
   * @param endpoints the endpoints
   * @param restriction the regions that the call may be served in
   * @param requestId the id of the call's request
   * @return the reasons, and when the first endpoint may take it
   */
  public Refusal explain(
      long nowMillis,
      List<EndpointEntry> endpoints,
      RegionRestriction restriction,
      String requestId) {
    List<Eligibility> verdicts =
        endpoints.stream()
            .map(endpoint -> check(nowMillis, endpoint, restriction, requestId))
            .toList();
    Set<IneligibilityReason> reasons = EnumSet.noneOf(IneligibilityReason.class);
    verdicts.forEach(verdict -> verdict.reason().ifPresent(reasons::add));
    OptionalLong opensInMillis =
        verdicts.stream().flatMapToLong(verdict -> verdict.opensInMillis().stream()).min();
    return new Refusal(reasons, opensInMillis);
  }

  /**
   * Why no endpoint may take a call.
   *
   * @param reasons the reasons of all endpoints; none if there are no endpoints
   * @param opensInMillis the time until the first endpoint may take it; empty if that is unknown
   */
  public record Refusal(Set<IneligibilityReason> reasons, OptionalLong opensInMillis) {}
}
