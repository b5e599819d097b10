package org.knapweedcleat.router.node;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.config.RevisionOutcome;
import org.knapweedcleat.core.drain.DrainState;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.limit.DistributedRateLimiter;
import org.knapweedcleat.core.limit.LimitMessage;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipAction;
import org.knapweedcleat.core.membership.MembershipTracker;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.core.schedule.SchedulePolicy;
import org.knapweedcleat.router.caller.CallerContext;
import org.knapweedcleat.router.caller.CallerLimits;
import org.knapweedcleat.router.caller.CallerServer;
import org.knapweedcleat.router.document.DocumentKeeper;
import org.knapweedcleat.router.document.PeerDocumentFetcher;
import org.knapweedcleat.router.gate.DocumentKeyAuthenticator;
import org.knapweedcleat.router.lifecycle.Closer;
import org.knapweedcleat.router.limit.CrossDomainLimitGate;
import org.knapweedcleat.router.limit.DomainDrawRequest;
import org.knapweedcleat.router.limit.DomainDrawResponse;
import org.knapweedcleat.router.limit.RateLimiterService;
import org.knapweedcleat.router.operator.InstanceState;
import org.knapweedcleat.router.operator.InstanceStatus;
import org.knapweedcleat.router.operator.OperatorServer;
import org.knapweedcleat.router.order.OrderDispatcher;
import org.knapweedcleat.router.peer.DocumentRequest;
import org.knapweedcleat.router.peer.Hello;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerMessageHandler;
import org.knapweedcleat.router.peer.PeerTransport;
import org.knapweedcleat.router.placement.EngineCanceller;
import org.knapweedcleat.router.placement.LoadPoller;
import org.knapweedcleat.router.placement.LocalSchedulers;
import org.knapweedcleat.router.placement.PlacementCoordinator;

/** One incarnation of a router instance, with all components on one event loop. */
public final class RouterNode implements PeerMessageHandler {

  private final Vertx vertx;
  private final Context eventLoop;
  private final NodeContext context;
  private final Closer closer = Closer.create();
  private final PeerTransport transport;
  private final MembershipTracker membership;
  private final InstanceMessenger messenger;
  private final DocumentKeeper documentKeeper;
  private final PeerDocumentFetcher documentFetcher;
  private final LocalSchedulers schedulers;
  private final LoadPoller loadPoller;
  private final OrderDispatcher orderDispatcher;
  private final PlacementCoordinator placements;
  private final ClaimExchange claimExchange;
  private final RateLimiterService rateLimiter;
  private final CrossDomainLimitGate limitGate;
  private final CallerServer callerServer;
  private final PlatformReader platformReader;
  private final ReadinessGate readiness;
  private final OperatorServer operatorServer;
  private final EngineCanceller orphanCanceller;
  private final DomainAssignments assignments;
  private final IncarnationTracker incarnations = IncarnationTracker.create();
  private final Promise<Integer> stoppedPromise = Promise.promise();
  private Promise<Integer> drainPromise;

  private RouterNode(Vertx vertx, NodeContext context) {
    this.vertx = vertx;
    this.eventLoop = vertx.getOrCreateContext();
    this.context = context;
    InstanceSettings settings = context.settings();
    FailureDomainId domain = settings.domain();
    Hello hello = new Hello(context.incarnation(), domain);
    this.transport = PeerTransport.create(vertx, hello, context.metrics(), this);
    Member self = context.selfMember();
    this.membership = MembershipTracker.of(self, NodeTimings.membershipSettings(settings.peers()));
    MembershipView view = membership.view();
    this.messenger = InstanceMessenger.of(transport, view);
    this.documentKeeper =
        DocumentKeeper.of(
            settings.platform().document(),
            context.monitor(),
            context.metrics(),
            context.audit(),
            context::nowMillis,
            this::onDocumentApplied);
    this.assignments = DomainAssignments.of(documentKeeper, view);
    this.documentFetcher = PeerDocumentFetcher.of(documentKeeper, messenger::requestDocumentPart);
    this.orphanCanceller = EngineCanceller.create(vertx, documentKeeper, context.metrics());
    this.schedulers =
        LocalSchedulers.of(
            domain,
            SchedulePolicy.defaults(),
            context.monitor(),
            context.metrics(),
            context::nowMillis,
            orphanCanceller);
    this.loadPoller = LoadPoller.create(vertx, schedulers, context.metrics());
    this.orderDispatcher =
        OrderDispatcher.create(vertx, context.metrics(), context.audit(), context::nowMillis);
    this.placements =
        PlacementCoordinator.of(view, schedulers, messenger, context::nowMillis, context.metrics());
    this.claimExchange =
        ClaimExchange.of(context.incarnation(), assignments, placements, schedulers, messenger);
    this.rateLimiter = newRateLimiter();
    this.limitGate =
        CrossDomainLimitGate.of(
            rateLimiter, messenger::drawInDomain, context::nowMillis, context.metrics());
    this.readiness =
        ReadinessGate.of(
            documentKeeper,
            domain,
            rateLimiter::ownsShare,
            context::nowMillis,
            settings.peers().heartbeatTimeoutMillis(),
            NodeTimings.shareWaitMillis(settings.peers()));
    this.callerServer =
        CallerServer.create(vertx, callerContext(), settings.host(), settings.callerPort());
    this.platformReader =
        PlatformReader.create(
            vertx, context, documentKeeper, () -> onDocumentConfirmed(0), this::onInstanceList);
    NodeOperatorBackend operatorBackend = NodeOperatorBackend.of(this, context);
    this.operatorServer =
        OperatorServer.create(vertx, operatorBackend, settings.host(), settings.operatorPort());
    NodeListeners listeners = NodeListeners.of(context);
    transport.guardWith(listeners.peers());
    callerServer.guardWith(listeners.callers());
    operatorServer.guardWith(listeners.operators());
  }

  /**
   * Starts a node.
   *
   * @param vertx the Vert.x instance to run on
   * @param context the shared context of its components
   * @return the node, once it listens; it becomes ready later, once it knows the document in force
   */
  public static Future<RouterNode> start(Vertx vertx, NodeContext context) {
    Promise<RouterNode> startResult = Promise.promise();
    vertx
        .getOrCreateContext()
        .runOnContext(
            ignored -> {
              RouterNode node = new RouterNode(vertx, context);
              node.listen().onComplete(startResult);
            });
    return startResult.future();
  }

  @Override
  public void onMessage(IncarnationId from, PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(from, heartbeat);
    } else if (message instanceof LimitMessage limitMessage) {
      rateLimiter.receive(from, limitMessage);
    } else if (message instanceof PlacementProgress progress) {
      schedulers.applyProgress(progress);
      placements.report(progress);
    } else if (message instanceof RunningClaims runningRequests) {
      claimExchange.onClaims(from, runningRequests);
    } else {
      context.metrics().counter("peer.messages.unexpected").inc();
    }
  }

  @Override
  public Uni<PeerMessage> onRequest(IncarnationId from, PeerMessage message) {
    if (message instanceof PlacementRequest request) {
      boolean isSameDomain = assignments.isInDomain(from);
      return (isSameDomain ? schedulers.submit(request) : placements.relay(request))
          .map(decision -> decision);
    }
    if (message instanceof DocumentRequest request) {
      return Uni.createFrom().item(documentKeeper.partFor(request));
    }
    if (message instanceof DomainDrawRequest draw) {
      return rateLimiter.acquire(draw.account(), draw.tokens()).map(DomainDrawResponse::of);
    }
    return callerServer.handlePeerRequest(message, from);
  }

  /**
   * Drains the node: rejects new requests, finishes running ones, hands over its limits and closes.
   *
   * @return the number of requests cut off, normally 0; the same for each call
   */
  public Future<Integer> drain() {
    Promise<Integer> drainResult = Promise.promise();
    eventLoop.runOnContext(ignored -> beginDrain().onComplete(drainResult));
    return drainResult.future();
  }

  /**
   * Returns a future that completes when a drain has finished, whoever started it.
   *
   * @return the number of requests cut off, normally 0
   */
  public Future<Integer> stopped() {
    return stoppedPromise.future();
  }

  /** Returns the state of the instance; may be called on any thread. */
  InstanceState state() {
    if (drainPromise != null) {
      return InstanceState.DRAINING;
    }
    if (readiness.isReady()) {
      return InstanceState.READY;
    }
    return documentKeeper.current().isPresent() ? InstanceState.JOINING : InstanceState.STARTING;
  }

  /** Collects the status on the event loop. */
  Uni<InstanceStatus> status() {
    return callerServer.activeRequestIds().map(this::buildStatus);
  }

  private InstanceStatus buildStatus(Set<RequestId> runningRequests) {
    Optional<FleetSnapshot> snapshot = documentKeeper.current();
    return new InstanceStatus(
        context.incarnation().instance(),
        context.incarnation(),
        context.settings().domain(),
        state(),
        documentKeeper.revision(),
        snapshot.map(FleetSnapshot::digest).orElse(""),
        documentKeeper.unconfirmedMillis(),
        membership.view().live(),
        assignments.scheduledPools(),
        assignments.homeAccounts(),
        runningRequests.size(),
        context.monitor().violationCount());
  }

  private Future<Integer> beginDrain() {
    if (drainPromise == null) {
      drainPromise = Promise.promise();
      execute(membership.leave(context.nowMillis()));
      callerServer.beginDrain();
      vertx.setTimer(DrainState.GRACE_PERIOD_MILLIS, ignored -> rateLimiter.handOver());
      callerServer
          .awaitDrained()
          .subscribe()
          .with(cut -> closeAfterDrain(cut, drainPromise), drainPromise::fail);
    }
    return drainPromise.future();
  }

  private Future<RouterNode> listen() {
    closer.addAsync(transport::close);
    closer.add(loadPoller::close);
    closer.add(orderDispatcher::close);
    closer.add(orphanCanceller::close);
    closer.add(platformReader::close);
    closer.addAsync(
        () -> Future.fromCompletionStage(operatorServer.close().subscribeAsCompletionStage()));
    InstanceSettings settings = context.settings();
    return transport
        .listen(settings.host(), settings.peerPort())
        .compose(port -> toFuture(callerServer.start()))
        .compose(port -> toFuture(operatorServer.start()))
        .map(port -> startTimers());
  }

  private static Future<Integer> toFuture(Uni<Integer> start) {
    Promise<Integer> promise = Promise.promise();
    start.subscribe().with(promise::complete, promise::fail);
    return promise.future();
  }

  private RouterNode startTimers() {
    platformReader.start();
    schedulePeriodic(NodeTimings.TICK_MILLIS, this::tick);
    schedulePeriodic(
        NodeTimings.MEMBERSHIP_TICK_MILLIS, () -> execute(membership.tick(context.nowMillis())));
    schedulePeriodic(NodeTimings.LOAD_POLL_MILLIS, this::pollEngines);
    schedulePeriodic(NodeTimings.CLAIM_INTERVAL_MILLIS, claimExchange::sendClaims);
    return this;
  }

  private void schedulePeriodic(long periodMillis, Runnable task) {
    long timerId = vertx.setPeriodic(periodMillis, ignored -> task.run());
    closer.add(() -> vertx.cancelTimer(timerId));
  }

  private void tick() {
    schedulers.tick();
    placements.tick();
    rateLimiter.tick();
  }

  private void closeAfterDrain(int cut, Promise<Integer> drainResult) {
    closer
        .closeAll()
        .onComplete(
            result -> {
              drainResult.complete(cut);
              stoppedPromise.complete(cut);
            });
  }

  private RateLimiterService newRateLimiter() {
    DistributedRateLimiter limiter =
        DistributedRateLimiter.of(
            context.incarnation(),
            context.settings().domain(),
            NodeTimings.limitSettings(context.settings().peers()),
            context.monitor());
    return RateLimiterService.of(limiter, context::nowMillis, context.metrics(), messenger::send);
  }

  private CallerContext callerContext() {
    InstanceSettings.Limits limits = context.settings().limits();
    return new CallerContext(
        context.incarnation(),
        context.settings().domain(),
        readiness,
        DocumentKeyAuthenticator.of(readiness),
        limitGate,
        placements,
        messenger,
        context::nowMillis,
        context.random()::nextLong,
        context.metrics(),
        context.monitor(),
        context.audit(),
        new CallerLimits(
            limits.maxBodyBytes(),
            limits.maxHeaderBytes(),
            limits.maxInFlight(),
            limits.drainTimeoutMillis()));
  }

  private void onHeartbeat(IncarnationId from, Heartbeat heartbeat) {
    if (!from.equals(heartbeat.sender().incarnation())) {
      context.metrics().counter("peer.messages.unexpected").inc();
      return;
    }
    execute(membership.onHeartbeat(context.nowMillis(), heartbeat));
    if (heartbeat.confirmsRevision(documentKeeper.revision())) {
      onDocumentConfirmed(heartbeat.documentAgeMillis());
    }
    readiness.onRevisionAnnounced(heartbeat.revision());
    documentFetcher.onRevisionAnnounced(from, heartbeat.revision());
  }

  private void onDocumentConfirmed(long ageMillis) {
    documentKeeper.onConfirmed(ageMillis);
    membership.onDocumentConfirmed(context.nowMillis(), ageMillis);
  }

  private void onInstanceList(List<ListedInstance> list) {
    execute(membership.onInstanceList(context.nowMillis(), list));
  }

  private void onDocumentApplied(RevisionOutcome.Applied applied) {
    FleetSnapshot snapshot = applied.snapshot();
    schedulers.configure(snapshot.document());
    rateLimiter.configure(snapshot);
    limitGate.configure(assignments.otherDomains());
    callerServer.onDocumentChanged(snapshot);
    execute(
        membership.onDocumentApplied(context.nowMillis(), snapshot.revision(), snapshot.digest()));
  }

  private void execute(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send message) {
        PeerAddress to = new PeerAddress(message.to(), message.host(), message.peerPort());
        transport.send(to, message.heartbeat());
      } else if (action instanceof MembershipAction.ViewChanged changed) {
        onViewChanged(changed.view());
      }
    }
  }

  private void onViewChanged(MembershipView view) {
    messenger.updateMembers(view);
    assignments.updateMembers(view);
    rateLimiter.updateMembers(view);
    schedulers.updateMembers(assignments.liveIncarnations());
    incarnations.update(view).forEach(schedulers::incarnationEnded);
    placements.updateMembers(view);
    platformReader.setReader(PlatformReaderSelector.isReader(view), view.selfListed());
  }

  private void pollEngines() {
    List<EndpointSpec> engines = assignments.scheduledEngines();
    loadPoller.poll(engines);
    long epoch = membership.view().epoch();
    documentKeeper
        .current()
        .ifPresent(snapshot -> orderDispatcher.dispatchDueOrders(engines, snapshot, epoch));
  }
}
