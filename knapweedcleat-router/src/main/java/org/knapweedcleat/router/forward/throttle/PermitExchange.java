package org.knapweedcleat.router.forward.throttle;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.throttle.EndpointRateLimits;
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
 * <p>The permits of an endpoint are issued by one live instance near it. While that instance does
 * not reply, no request is sent to the endpoint.
 */
public final class PermitExchange {

  /** Reply timeout; a call that waits longer can hardly be on time. */
  private static final long REPLY_TIMEOUT_MILLIS = 250;

  /** How long an endpoint gets no requests after its coordinator did not reply. */
  private static final long UNANSWERED_PAUSE_MILLIS = 500;

  private final Map<FailureDomainId, RegionId> regionByDomain;
  private final EndpointRateLimits limits;
  private final CoordinatorClient coordinators;
  private final LongSupplier clock;
  private final PermitIssuer issuer = PermitIssuer.create();

  private PermitExchange(
      Map<FailureDomainId, RegionId> regionByDomain,
      EndpointRateLimits limits,
      CoordinatorClient coordinators,
      LongSupplier clock) {
    this.regionByDomain = Map.copyOf(regionByDomain);
    this.limits = limits;
    this.coordinators = coordinators;
    this.clock = clock;
  }

  /**
   * Returns an exchange without a transport.
   *
   * @param self this instance
   * @param members the other instances
   * @param regionByDomain the region of each failure domain
   * @param limits the known rate limits
   * @param clock supplies the monotonic time in milliseconds
   * @param log records coordinators that do not reply
   * @return the exchange
   */
  public static PermitExchange of(
      FleetMember self,
      FleetMembership members,
      Map<FailureDomainId, RegionId> regionByDomain,
      EndpointRateLimits limits,
      LongSupplier clock,
      DecisionLog log) {
    return new PermitExchange(
        regionByDomain,
        limits,
        CoordinatorClient.of(self, members, clock, log, "permit.unanswered", REPLY_TIMEOUT_MILLIS),
        clock);
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
   * Requests a permit.
   *
   * @param endpoint the endpoint
   * @param maxDelayMillis how long the sender is prepared to wait
   * @return the decision; never fails
   */
  public Uni<PermitDecision> request(EndpointEntry endpoint, long maxDelayMillis) {
    EndpointIncarnation incarnation = EndpointIncarnation.of(endpoint);
    if (limits.requestsPerSecond(incarnation).isEmpty()) {
      return Uni.createFrom().item(PermitDecision.IMMEDIATE);
    }
    SendPermitQuery query = query(limits.find(incarnation).orElseThrow(), maxDelayMillis);
    Optional<FleetMember> coordinator = coordinator(endpoint);
    if (coordinator.isEmpty()) {
      return Uni.createFrom().item(PermitDecision.denied(UNANSWERED_PAUSE_MILLIS));
    }
    if (coordinators.isSelf(coordinator.get())) {
      return Uni.createFrom().item(issue(query).decision());
    }
    return coordinators
        .ask(coordinator.get(), query, SendPermitReply.class)
        .map(SendPermitReply::decision)
        .onFailure()
        .recoverWithItem(PermitDecision.denied(UNANSWERED_PAUSE_MILLIS));
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
    limits.record(
        new LimitObservation(
            endpoint,
            OptionalDouble.of(query.requestsPerSecond()),
            nowMillis - query.limitAgeMillis(),
            LimitObservation.Source.OTHER_DOMAIN));
    OptionalDouble limit = limits.requestsPerSecond(endpoint);
    return SendPermitReply.of(
        limit.isEmpty()
            ? PermitDecision.IMMEDIATE
            : issuer.request(nowMillis, endpoint, limit.getAsDouble(), query.maxDelayMillis()));
  }

  /**
   * Removes an incarnation that has ended.
   *
   * @param ended the incarnation
   */
  public void forget(IncarnationId ended) {
    coordinators.forget(ended);
  }

  private SendPermitQuery query(LimitObservation limit, long maxDelayMillis) {
    return new SendPermitQuery(
        limit.endpoint().id().value(),
        limit.endpoint().startedAtMillis(),
        limit.requestsPerSecond().orElseThrow(),
        clock.getAsLong() - limit.observedAtMillis(),
        maxDelayMillis);
  }

  /** Chooses among the instances of the endpoint's failure domain, its region or the fleet. */
  private Optional<FleetMember> coordinator(EndpointEntry endpoint) {
    RegionId region = regionByDomain.get(endpoint.domain());
    Stream<Predicate<FleetMember>> scopes =
        Stream.of(
            member -> member.domain().equals(endpoint.domain()),
            member -> Objects.equals(region, regionByDomain.get(member.domain())),
            member -> true);
    List<FleetMember> candidates =
        scopes.map(coordinators::live).filter(live -> !live.isEmpty()).findFirst().orElseThrow();
    return coordinators.choose(endpoint.id().value(), candidates);
  }
}
