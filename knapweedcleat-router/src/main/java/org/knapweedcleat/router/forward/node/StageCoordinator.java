package org.knapweedcleat.router.forward.node;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.stage.OrderLeaderElection;
import org.knapweedcleat.core.stage.StageBalancer;
import org.knapweedcleat.core.stage.StageChange;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.codec.StageChangeRequest;
import org.knapweedcleat.router.forward.http.BufferedResponseListener;
import org.knapweedcleat.router.forward.http.ResponseMatcher;
import org.knapweedcleat.router.forward.store.PublishedKind;

/** Orders engines to change stage while this instance is the one that may send such orders. */
final class StageCoordinator {

  /** Time without further orders after an engine was ordered to change; a change takes seconds. */
  private static final long ORDER_COOLDOWN_MILLIS = 20_000;

  /** How often to check the membership; a fraction of the required handover time. */
  private static final long MEMBERSHIP_CHECK_INTERVAL_MILLIS = 200;

  /** How often to check the engines. */
  private static final long ENGINE_CHECK_INTERVAL_MILLIS = 500;

  /** Time without engine changes required before the first call, since some register late. */
  private static final long INITIAL_STABLE_MILLIS = 2_000;

  /**
   * Time without engine changes required after the first call. An engine is unavailable for seconds
   * while it changes stage, so it changes only for a lasting shortage.
   */
  private static final long STABLE_MILLIS = 12_000;

  /** After a longer store outage the list of engines may be outdated. */
  private static final long MAX_STORE_AGE_MILLIS = 4_000;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  private final InstanceId self;
  private final ForwardContext context;
  private final FleetMembership members;
  private final OrderLeaderElection lead;
  private final StageBalancer plan;
  private final LongSupplier fencingTokens;
  private final Map<EndpointId, Long> orderedAtMillis = new HashMap<>();
  private List<EndpointEntry> lastEngines = List.of();
  private long enginesSinceMillis;
  private long enginesCheckedAtMillis = Long.MIN_VALUE / 2;
  private long membershipCheckedAtMillis = Long.MIN_VALUE / 2;
  private boolean reportPending;

  private StageCoordinator(
      InstanceId self,
      ForwardContext context,
      FleetMembership members,
      OrderLeaderElection lead,
      StageBalancer plan,
      LongSupplier fencingTokens) {
    this.self = self;
    this.context = context;
    this.members = members;
    this.lead = lead;
    this.plan = plan;
    this.fencingTokens = fencingTokens;
  }

  static StageCoordinator of(
      InstanceId self,
      ForwardContext context,
      FleetMembership members,
      OrderLeaderElection lead,
      StageBalancer plan,
      LongSupplier fencingTokens) {
    return new StageCoordinator(self, context, members, lead, plan, fencingTokens);
  }

  /** Sends an order if one is due; call at least once per membership check interval. */
  void tick() {
    long nowMillis = context.clock().getAsLong();
    if (nowMillis - membershipCheckedAtMillis < MEMBERSHIP_CHECK_INTERVAL_MILLIS) {
      return;
    }
    membershipCheckedAtMillis = nowMillis;
    lead.observe(nowMillis, ids(members.knownMembers()), ids(members.liveMembers(nowMillis)));
    if (nowMillis - enginesCheckedAtMillis < ENGINE_CHECK_INTERVAL_MILLIS) {
      return;
    }
    enginesCheckedAtMillis = nowMillis;
    List<EndpointEntry> engines = engines();
    if (!engines.equals(lastEngines)) {
      lastEngines = engines;
      enginesSinceMillis = nowMillis;
    }
    orderedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > ORDER_COOLDOWN_MILLIS);
    boolean beforeFirstCall = context.metrics().counter("calls.received").getCount() == 0;
    boolean stable =
        nowMillis - enginesSinceMillis >= (beforeFirstCall ? INITIAL_STABLE_MILLIS : STABLE_MILLIS);
    boolean fresh = context.directory().ageMillis(PublishedKind.ENDPOINTS) < MAX_STORE_AGE_MILLIS;
    if (stable
        && fresh
        && !reportPending
        && orderedAtMillis.isEmpty()
        && lead.isLeader(nowMillis)) {
      engines.stream()
          .collect(Collectors.groupingBy(EndpointEntry::service))
          .values()
          .forEach(
              serviceEngines -> plan.nextChange(serviceEngines).ifPresent(this::requestReport));
    }
  }

  private List<EndpointEntry> engines() {
    return context.directory().endpoints().all().keySet().stream()
        .filter(entry -> entry.stage() != EndpointStage.WHOLE && !entry.draining())
        .filter(entry -> isConfigured(entry.service()))
        .filter(
            entry -> !context.directory().eligibility().evacuations().isEvacuated(entry.domain()))
        .toList();
  }

  private boolean isConfigured(ServiceId service) {
    return context.directory().config().flatMap(config -> config.findService(service)).isPresent();
  }

  private static Set<InstanceId> ids(List<FleetMember> fleetMembers) {
    return fleetMembers.stream()
        .map(member -> member.incarnation().instance())
        .collect(Collectors.toSet());
  }

  /** Requests the engine's state before ordering, since another instance's order may be pending. */
  private void requestReport(StageChange change) {
    reportPending = true;
    EndpointEntry engine = change.engine();
    context
        .pool()
        .send(
            engine.host(),
            engine.port(),
            context.codec().encodeStateQuery(engine),
            Buffer.buffer(),
            ResponseMatcher.ofOther(Optional.empty(), context.codec()::requestId),
            BufferedResponseListener.of(
                (head, body) -> {
                  reportPending = false;
                  context
                      .codec()
                      .decodeState(body)
                      .filter(report -> !report.isBusy() && report.stage() == engine.stage())
                      .forEach(idle -> sendOrder(change));
                },
                cause -> reportPending = false));
  }

  private void sendOrder(StageChange change) {
    long nowMillis = context.clock().getAsLong();
    if (!lead.isLeader(nowMillis)) {
      return;
    }
    EndpointEntry engine = change.engine();
    orderedAtMillis.put(engine.id(), nowMillis);
    StageChangeRequest order =
        context.codec().encodeStageChange(change, self, fencingTokens.getAsLong());
    context.metrics().counter("engine.orders").inc();
    context
        .pool()
        .send(
            engine.host(),
            engine.port(),
            order.head(),
            Buffer.buffer(order.body()),
            ResponseMatcher.ofOther(Optional.empty(), context.codec()::requestId),
            BufferedResponseListener.of(
                (head, body) -> {
                  boolean accepted = head.status() == OK || head.status() == ACCEPTED;
                  logOrder(accepted ? "order.accepted" : "order.refused", change, head.status());
                },
                cause -> logOrder("order.unanswered", change, cause)));
  }

  private void logOrder(String event, StageChange change, Object outcome) {
    context
        .log()
        .stateChange(
            event,
            "endpoint",
            change.engine().id(),
            "stage",
            change.stage(),
            "outcome",
            outcome,
            "endpointsRevision",
            context.directory().endpoints().position());
  }
}
