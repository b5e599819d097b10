package org.knapweedcleat.router.forward.node;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointAvailability;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EngineSpeeds;
import org.knapweedcleat.core.balance.HomeDomainFilter;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.drain.ShutdownAdmission;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.locality.LinkBudget;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.core.quota.QuotaTolerance;
import org.knapweedcleat.core.room.LateCallDetector;
import org.knapweedcleat.core.stage.OrderLeaderElection;
import org.knapweedcleat.core.stage.StageBalancer;
import org.knapweedcleat.core.throttle.ColdRatePolicy;
import org.knapweedcleat.core.throttle.EndpointRateLimits;
import org.knapweedcleat.router.forward.call.AdmissionHandler;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.call.ReconnectProbe;
import org.knapweedcleat.router.forward.call.ServiceRetryBudgets;
import org.knapweedcleat.router.forward.codec.PlatformAdapter;
import org.knapweedcleat.router.forward.fleet.FleetGossip;
import org.knapweedcleat.router.forward.http.CallerIntakeLog;
import org.knapweedcleat.router.forward.http.CallerServer;
import org.knapweedcleat.router.forward.http.CallerServerLimits;
import org.knapweedcleat.router.forward.http.EndpointConnectionPool;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.log.EngineSpeedLog;
import org.knapweedcleat.router.forward.log.LocalityLog;
import org.knapweedcleat.router.forward.quarantine.QuarantineExchange;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.speed.EngineSpeedExchange;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.forward.store.PublishedKind;
import org.knapweedcleat.router.forward.store.PublishedStore;
import org.knapweedcleat.router.forward.store.StoreWatcher;
import org.knapweedcleat.router.forward.throttle.ColdSendRates;
import org.knapweedcleat.router.forward.throttle.PermitExchange;
import org.knapweedcleat.router.lifecycle.Closer;
import org.knapweedcleat.router.listener.ListenerGuard;
import org.knapweedcleat.router.operator.MetricsFormatter;
import org.knapweedcleat.router.peer.Hello;
import org.knapweedcleat.router.peer.PeerTransport;

/** One incarnation of a forwarding instance; all components run on one event loop. */
public final class ForwarderNode {

  private static final long TICK_MILLIS = 50;

  /** Lifetime of other instances' work reports; several gossip intervals. */
  private static final long WORK_REPORT_TTL_MILLIS = 2_500;

  /**
   * After this time the platform's load balancer, which polls readiness once a second, opens no new
   * connections to this instance.
   */
  private static final long DEREGISTRATION_MILLIS = 2_600;

  /** How often to check whether the last call has finished. */
  private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;

  /** Longer than two instances may both send orders after a membership change. */
  private static final long ORDER_HANDOVER_MILLIS = 3_200;

  /** Part of the shutdown time reserved for the process to exit. */
  private static final long EXIT_MARGIN_MILLIS = 500;

  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Vertx vertx;
  private final ForwarderSettings settings;
  private final PlatformAdapter adapter;
  private final MetricRegistry metrics = new MetricRegistry();
  private final DecisionLog log = DecisionLog.of(ForwarderNode::nowMillis, metrics);
  private final Closer closer = Closer.create();
  private final DirectoryCache directory;
  private final FleetGossip gossip;
  private final PeerTransport peers;
  private final List<StoreWatcher> watchers = new ArrayList<>();
  private final StageCoordinator stageCoordinator;
  private final ReconnectProbe reach;
  private final AdmissionHandler desk;
  private final CallerServer callers;
  private final Promise<Void> stopped = Promise.promise();
  private boolean draining;

  private ForwarderNode(Vertx vertx, ForwarderSettings settings, PlatformAdapter adapter) {
    this.vertx = vertx;
    this.settings = settings;
    this.adapter = adapter;
    IncarnationId incarnation = IncarnationId.of(settings.id(), System.currentTimeMillis());
    this.directory = DirectoryCache.of(settings.regions(), ForwarderNode::nowMillis, log);
    WorkloadTracker work = WorkloadTracker.of(WORK_REPORT_TTL_MILLIS);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    FleetQuotaLimiter quota =
        FleetQuotaLimiter.of(
            QuotaTolerance.of(
                settings.bounds().quotaOverage(), settings.bounds().quotaSlackUnits()));
    ServiceRetryBudgets budgets = ServiceRetryBudgets.of(settings.bounds(), nowMillis());
    Random random = new Random(incarnation.hashCode());
    DomainTopology domains = DomainTopology.of(settings.domain(), settings.regions());
    FleetMember self =
        new FleetMember(
            incarnation,
            settings.domain(),
            settings.peerAddress().host(),
            settings.peerAddress().port());
    FleetMembership members = FleetMembership.of(self, settings.discovery().gossipMillis());
    EndpointConnectionPool pool =
        EndpointConnectionPool.create(
            vertx,
            ForwarderNode::nowMillis,
            metrics,
            log,
            ConnectionShares.of(directory, members, ForwarderNode::nowMillis));
    closer.add(pool::close);
    ColdSendRates coldRates =
        ColdSendRates.of(
            directory,
            ColdRatePolicy.of(settings.bounds().coldOverage(), settings.bounds().coldSlack()),
            ForwarderNode::nowMillis);
    EngineSpeeds speeds = EngineSpeeds.create(EngineSpeedLog.of(log, metrics));
    EndpointSelector chooser =
        EndpointSelector.of(
                domains, work, health, random::nextDouble, homeFilter(domains, members, random))
            .preferringWarm(coldRates::isLimited)
            .withSpeeds(speeds);
    EndpointAvailability notices = EndpointAvailability.create();
    EndpointRateLimits rateLimits = EndpointRateLimits.create();
    PlacementExchange rooms =
        PlacementExchange.of(
            self,
            members,
            settings.regions(),
            StreamCapacityAllocator.of(incarnation, chooser, work, health, members::domainOf),
            directory,
            notices,
            ForwarderNode::nowMillis,
            log,
            metrics);
    ForwardContext context =
        new ForwardContext(
            vertx,
            ForwarderNode::nowMillis,
            random::nextDouble,
            adapter.callCodec(),
            directory,
            domains,
            chooser,
            work,
            health,
            notices,
            rateLimits,
            PermitExchange.of(
                self,
                members,
                settings.regions(),
                rateLimits,
                coldRates,
                ForwarderNode::nowMillis,
                log),
            QuarantineExchange.of(self, ForwarderNode::nowMillis, log, metrics),
            rooms,
            EngineSpeedExchange.of(speeds, rooms, directory, domains, ForwarderNode::nowMillis),
            quota,
            budgets,
            LateCallDetector.create(),
            pool,
            log,
            metrics);
    this.gossip =
        FleetGossip.of(self, members, domains, context, settings.bounds().configApplyMillis());
    this.desk =
        AdmissionHandler.of(
            context, gossip::isComparedWithPeers, settings.bounds().configApplyMillis());
    this.callers =
        CallerServer.create(
            vertx,
            ForwarderNode::nowMillis,
            () ->
                directory.config().map(RoutingConfig::requestLimits).orElse(RequestLimits.INITIAL),
            desk,
            this::onRejected,
            this::onFault,
            CallerServerLimits.of(
                settings.callers(), Runtime.getRuntime().maxMemory(), DescriptorLimit.read()),
            CallerIntakeLog.of(ForwarderNode::nowMillis, log, metrics));
    this.reach = ReconnectProbe.of(context);
    this.stageCoordinator =
        StageCoordinator.of(
            settings.id(),
            context,
            members,
            OrderLeaderElection.of(settings.id(), ORDER_HANDOVER_MILLIS),
            StageBalancer.of(
                    settings.bounds().prefillPart(), entry -> domains.region(entry.domain()))
                .balancingDomains(settings.locality().isEnabled()),
            System::currentTimeMillis);
    gossip.seeds(settings.discovery().seeds());
    this.peers =
        PeerTransport.create(vertx, new Hello(incarnation, settings.domain()), metrics, gossip);
    gossip.messenger(peers);
    peers.guardWith(guard("peers", settings.listeners().peerConnections()));
  }

  /**
   * Starts an instance.
   *
   * @param vertx the Vert.x instance to run on
   * @param settings the instance's settings
   * @param adapter the adapter of the platform's protocols
   * @return the node once it listens; it becomes ready when the directory is loaded
   */
  public static Future<ForwarderNode> start(
      Vertx vertx, ForwarderSettings settings, PlatformAdapter adapter) {
    Promise<ForwarderNode> started = Promise.promise();
    vertx
        .getOrCreateContext()
        .runOnContext(
            ignored -> {
              ForwarderNode node = new ForwarderNode(vertx, settings, adapter);
              node.listen().onComplete(started);
            });
    return started.future();
  }

  /**
   * Applies changed settings; only the seeds can change at runtime.
   *
   * @param changed the new settings
   */
  public void reload(ForwarderSettings changed) {
    vertx.runOnContext(
        ignored -> {
          gossip.seeds(changed.discovery().seeds());
          log.stateChange("instance.reloaded", "seeds", changed.discovery().seeds());
        });
  }

  /**
   * Shuts down gracefully: rejects new callers, finishes running calls and closes.
   *
   * @return completes when the process may exit
   */
  public Future<Void> drain() {
    vertx.runOnContext(ignored -> beginDrain());
    return stopped.future();
  }

  private Optional<HomeDomainFilter> homeFilter(
      DomainTopology domains, FleetMembership members, Random random) {
    ForwarderSettings.Locality locality = settings.locality();
    if (!locality.isEnabled()) {
      return Optional.empty();
    }
    Optional<RegionId> region = domains.region(settings.domain());
    LinkBudget link =
        LinkBudget.of(
            locality.interRegionKilobitsPerSecond(),
            () ->
                1
                    + (int)
                        members.liveMembers(nowMillis()).stream()
                            .filter(member -> domains.region(member.domain()).equals(region))
                            .count());
    return Optional.of(
        HomeDomainFilter.of(
            locality.interDomainCostMillis(),
            WORK_REPORT_TTL_MILLIS,
            link,
            members::reportAgeMillis,
            LocalityLog.of(log, metrics),
            random::nextDouble));
  }

  private Future<ForwarderNode> listen() {
    PublishedStore store = adapter.storeClient(vertx, settings.discovery().storeAddress());
    SinglePathServer readiness =
        SinglePathServer.create(
            vertx,
            settings.readinessAddress(),
            adapter.readinessPath(),
            guard("readiness", settings.listeners().checkConnections()),
            this::readiness);
    MetricsFormatter page = MetricsFormatter.of(metrics);
    SinglePathServer metricsServer =
        SinglePathServer.create(
            vertx,
            settings.metricsAddress(),
            "/metrics",
            guard("metrics", settings.listeners().checkConnections()),
            () -> new SinglePathServer.Response(STATUS_OK, page.toPrometheusText()));
    closer.add(readiness::close);
    closer.add(metricsServer::close);
    for (PublishedKind kind : PublishedKind.values()) {
      StoreWatcher watcher =
          StoreWatcher.of(
              this::runLater, store, kind, directory, settings.bounds().configApplyMillis());
      watchers.add(watcher);
      closer.add(watcher::close);
      watcher.start();
    }
    long timer = vertx.setPeriodic(TICK_MILLIS, tick -> tick());
    closer.add(() -> vertx.cancelTimer(timer));
    return peers
        .listen(settings.peerAddress().host(), settings.peerAddress().port())
        .compose(
            port -> {
              tick();
              return readiness.listen();
            })
        .compose(port -> metricsServer.listen())
        .compose(port -> callers.listen(settings.callerAddress()))
        .map(
            port -> {
              log.stateChange(
                  "instance.started", "instance", settings.id(), "domain", settings.domain());
              return this;
            });
  }

  private ListenerGuard guard(String name, int maxConnections) {
    return ListenerGuard.of(
        name,
        settings.listeners().limits(maxConnections, Runtime.getRuntime().maxMemory()),
        ForwarderNode::nowMillis,
        metrics,
        (listener, counts, releasedBytes, open) ->
            log.failure(
                "listener.closed",
                "listener",
                listener,
                "counts",
                counts,
                "releasedBytes",
                releasedBytes,
                "open",
                open));
  }

  private void runLater(long delayMillis, Runnable task) {
    vertx.setTimer(delayMillis, timer -> task.run());
  }

  private void tick() {
    directory.tick();
    gossip.tick();
    boolean pause = !gossip.readsStore();
    watchers.forEach(watcher -> watcher.setPaused(pause));
    stageCoordinator.tick();
    reach.probeDue();
  }

  private SinglePathServer.Response readiness() {
    boolean ready = directory.isLoaded() && !draining;
    return new SinglePathServer.Response(ready ? STATUS_OK : STATUS_UNAVAILABLE, "");
  }

  private void onRejected(int status, String reason) {
    metrics.counter("calls.unreadable").inc();
    log.failure("call.unreadable", "status", status, "why", reason);
  }

  private void onFault(RuntimeException fault) {
    metrics.counter("calls.faulted").inc();
    log.failure("call.faulted", "why", fault, "at", List.of(fault.getStackTrace()));
  }

  private void beginDrain() {
    if (draining) {
      return;
    }
    draining = true;
    long nowMillis = nowMillis();
    long endMillis = nowMillis + settings.bounds().stopMillis() - EXIT_MARGIN_MILLIS;
    long deregistrationMillis = Math.min(DEREGISTRATION_MILLIS, (endMillis - nowMillis) / 2);
    desk.beginDrain(ShutdownAdmission.of(nowMillis + deregistrationMillis, endMillis));
    log.stateChange("instance.leaving", "busy", callers.busyConnections());
    callers.beginClose();
    vertx.setTimer(Math.max(1, deregistrationMillis), timer -> closeWhenIdle(endMillis));
  }

  private void closeWhenIdle(long endMillis) {
    callers.closeIdle();
    if (nowMillis() >= endMillis - ShutdownAdmission.RESPONSE_MARGIN_MILLIS) {
      desk.stopCalls();
    }
    if (callers.busyConnections() > 0 && nowMillis() < endMillis) {
      vertx.setTimer(DRAIN_CHECK_INTERVAL_MILLIS, timer -> closeWhenIdle(endMillis));
      return;
    }
    log.stateChange("instance.stopped", "cut", callers.busyConnections());
    gossip.leave();
    closer.closeAll().onComplete(closed -> callers.close().onComplete(stopped));
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
