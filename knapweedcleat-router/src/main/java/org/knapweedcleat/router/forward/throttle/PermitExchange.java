package org.knapweedcleat.router.forward.throttle;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.knapweedcleat.core.balance.IneligibilityReason;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.throttle.EndpointRateLimits;
import org.knapweedcleat.core.throttle.IssuerHandover;
import org.knapweedcleat.core.throttle.LimitObservation;
import org.knapweedcleat.core.throttle.PermitDecision;
import org.knapweedcleat.core.throttle.PermitIssuer;
import org.knapweedcleat.router.forward.coordinator.CoordinatorClient;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.peer.PeerMessenger;

/**
 * Obtains permits to send requests to endpoints with a rate limit, and issues them for the
 * endpoints that this instance coordinates.
 *
 * <p>The permits of an endpoint are issued by one live instance near it. Instances that disagree on
 * which one that is must not get permits of several: an instance issues permits only while it
 * considers itself to be the issuer, and a change of the issuer takes effect with a delay, both for
 * who asks and for who issues. Without a permit nothing is sent to the endpoint.
 */
public final class PermitExchange {

  /** Reply timeout; a call that waits longer can hardly be on time. */
  private static final long REPLY_TIMEOUT_MILLIS = 250;

  /** How long an endpoint gets no requests after no coordinator could be asked. */
  private static final long NO_COORDINATOR_PAUSE_MILLIS = 500;

  private final Map<FailureDomainId, RegionId> regionByDomain;
  private final EndpointRateLimits limits;
  private final ColdSendRates coldRates;
  private final CoordinatorClient coordinators;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final PermitIssuer issuer = PermitIssuer.create();
  private final IssuerHandover handover = IssuerHandover.create();

  private PermitExchange(
      Map<FailureDomainId, RegionId> regionByDomain,
      EndpointRateLimits limits,
      ColdSendRates coldRates,
      CoordinatorClient coordinators,
      LongSupplier clock,
      DecisionLog log) {
    this.regionByDomain = Map.copyOf(regionByDomain);
    this.limits = limits;
    this.coldRates = coldRates;
    this.coordinators = coordinators;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Returns an exchange without a transport.
   *
   * @param self this instance
   * @param members the other instances
   * @param regionByDomain the region of each failure domain
   * @param limits the rate limits that endpoints have announced
   * @param coldRates the rates of cold endpoints
   * @param clock supplies the monotonic time in milliseconds
   * @param log records which instance issues permits, and those that do not reply
   * @return the exchange
   */
  public static PermitExchange of(
      FleetMember self,
      FleetMembership members,
      Map<FailureDomainId, RegionId> regionByDomain,
      EndpointRateLimits limits,
      ColdSendRates coldRates,
      LongSupplier clock,
      DecisionLog log) {
    return new PermitExchange(
        regionByDomain,
        limits,
        coldRates,
        CoordinatorClient.of(self, members, clock, log, "permit.unanswered", REPLY_TIMEOUT_MILLIS),
        clock,
        log);
  }

  /**
   * Sets the transport for messages to other instances.
   *
   * @param peerTransport the transport
   */
  public void transport(PeerMessenger peerTransport) {
    coordinators.transport(peerTransport);
  }

  /**
   * Returns whether sending to an endpoint needs a permit.
   *
   * @param endpoint the endpoint
   * @return true if it has announced a rate limit, or is cold and has a limit for that
   */
  public boolean isLimited(EndpointEntry endpoint) {
    return requestsPerSecond(EndpointIncarnation.of(endpoint)).isPresent();
  }

  /**
   * Returns why an endpoint has a limit.
   *
   * @param endpoint an endpoint with a limit
   * @return the reason to state for a denied permit
   */
  public IneligibilityReason reason(EndpointEntry endpoint) {
    return coldRates.isLimited(endpoint)
        ? IneligibilityReason.COLD
        : IneligibilityReason.RATE_LIMITED;
  }

  /** Returns the lower one of the announced limit and that of a cold endpoint. */
  private OptionalDouble requestsPerSecond(EndpointIncarnation endpoint) {
    return lower(limits.requestsPerSecond(endpoint), coldRates.requestsPerSecond(endpoint));
  }

  private static OptionalDouble lower(OptionalDouble first, OptionalDouble second) {
    return DoubleStream.concat(first.stream(), second.stream()).min();
  }

  /**
   * Requests a permit.
   *
   * @param endpoint the endpoint
   * @param maxDelayMillis how long the sender is prepared to wait
   * @return the decision; never fails
   */
  public Uni<PermitDecision> request(EndpointEntry endpoint, long maxDelayMillis) {
    EndpointIncarnation incarnation = EndpointIncarnation.of(endpoint);
    OptionalDouble limit = requestsPerSecond(incarnation);
    if (limit.isEmpty()) {
      return Uni.createFrom().item(PermitDecision.IMMEDIATE);
    }
    Optional<FleetMember> coordinator = settledCoordinator(incarnation, endpoint.domain());
    if (coordinator.isEmpty()) {
      return Uni.createFrom().item(PermitDecision.denied(NO_COORDINATOR_PAUSE_MILLIS));
    }
    SendPermitQuery query = query(endpoint, limit.getAsDouble(), maxDelayMillis);
    if (coordinators.isSelf(coordinator.get())) {
      return Uni.createFrom().item(issue(query).decision());
    }
    return coordinators
        .ask(coordinator.get(), query, SendPermitReply.class)
        .map(SendPermitReply::decision)
        .onFailure()
        .recoverWithItem(PermitDecision.denied(NO_COORDINATOR_PAUSE_MILLIS));
  }

  /**
   * Answers a query as coordinator of an endpoint.
   *
   * @param query the query
   * @return the answer
   */
  public SendPermitReply issue(SendPermitQuery query) {
    long nowMillis = clock.getAsLong();
    EndpointIncarnation endpoint =
        new EndpointIncarnation(EndpointId.of(query.endpoint()), query.startedAtMillis());
    if (query.isLimitAnnounced()) {
      limits.record(
          new LimitObservation(
              endpoint,
              OptionalDouble.of(query.requestsPerSecond()),
              nowMillis - query.limitAgeMillis(),
              ObservationSource.OTHER_DOMAIN));
    }
    OptionalDouble limit = requestsPerSecond(endpoint);
    if (!query.isLimitAnnounced()) {
      limit = lower(limit, OptionalDouble.of(query.requestsPerSecond()));
    }
    if (limit.isEmpty()) {
      return SendPermitReply.of(PermitDecision.IMMEDIATE);
    }
    boolean isCoordinator =
        settledCoordinator(endpoint, FailureDomainId.of(query.domain()))
            .filter(coordinators::isSelf)
            .isPresent();
    return SendPermitReply.of(
        isCoordinator
            ? issuer.request(nowMillis, endpoint, limit.getAsDouble(), query.maxDelayMillis())
            : PermitDecision.denied(NO_COORDINATOR_PAUSE_MILLIS));
  }

  /**
   * Removes an incarnation that has ended.
   *
   * @param ended the incarnation
   */
  public void forget(IncarnationId ended) {
    coordinators.forget(ended);
  }

  private SendPermitQuery query(
      EndpointEntry endpoint, double requestsPerSecond, long maxDelayMillis) {
    long limitAgeMillis =
        limits
            .find(EndpointIncarnation.of(endpoint))
            .filter(limit -> limit.requestsPerSecond().equals(OptionalDouble.of(requestsPerSecond)))
            .map(limit -> clock.getAsLong() - limit.observedAtMillis())
            .orElse(SendPermitQuery.NOT_ANNOUNCED);
    return new SendPermitQuery(
        endpoint.id().value(),
        endpoint.domain().value(),
        endpoint.startedAtMillis(),
        requestsPerSecond,
        limitAgeMillis,
        maxDelayMillis);
  }

  /** Returns the coordinator of an endpoint, unless it has changed lately or does not reply. */
  private Optional<FleetMember> settledCoordinator(
      EndpointIncarnation endpoint, FailureDomainId domain) {
    Optional<FleetMember> coordinator = coordinator(endpoint.id(), domain);
    coordinator.ifPresent(member -> recordIssuer(endpoint, member));
    return coordinator.filter(member -> handover.isSettled(clock.getAsLong(), endpoint));
  }

  private void recordIssuer(EndpointIncarnation endpoint, FleetMember member) {
    if (handover.record(clock.getAsLong(), endpoint, member.incarnation())) {
      log.stateChange("permit.issuer", "endpoint", endpoint.id(), "issuer", member.incarnation());
    }
  }

  /** Chooses among the instances of the endpoint's failure domain, its region or the fleet. */
  private Optional<FleetMember> coordinator(EndpointId endpoint, FailureDomainId domain) {
    RegionId region = regionByDomain.get(domain);
    Stream<Predicate<FleetMember>> scopes =
        Stream.of(
            member -> member.domain().equals(domain),
            member -> Objects.equals(region, regionByDomain.get(member.domain())),
            member -> true);
    List<FleetMember> candidates =
        scopes.map(coordinators::live).filter(live -> !live.isEmpty()).findFirst().orElseThrow();
    return coordinators.choose(endpoint.value(), candidates);
  }
}
