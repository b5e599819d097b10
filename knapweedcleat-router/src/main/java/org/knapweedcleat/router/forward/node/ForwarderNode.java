package org.knapweedcleat.router.forward.node;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EndpointAvailability;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.directory.RequestLimits;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.drain.ShutdownAdmission;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.core.quota.QuotaTolerance;
import org.knapweedcleat.core.room.LateCallDetector;
import org.knapweedcleat.core.stage.OrderLeaderElection;
import org.knapweedcleat.core.stage.StageBalancer;
import org.knapweedcleat.router.forward.call.AdmissionHandler;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.call.ReconnectProbe;
import org.knapweedcleat.router.forward.call.ServiceRetryBudgets;
import org.knapweedcleat.router.forward.codec.PlatformAdapter;
import org.knapweedcleat.router.forward.fleet.FleetLink;
import org.knapweedcleat.router.forward.http.CallerServer;
import org.knapweedcleat.router.forward.http.EndpointConnectionPool;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.store.PublishedDirectory;
import org.knapweedcleat.router.forward.store.PublishedKind;
import org.knapweedcleat.router.forward.store.PublishedStore;
import org.knapweedcleat.router.forward.store.StoreWatch;
import org.knapweedcleat.router.lifecycle.Closer;
import org.knapweedcleat.router.operator.MetricsPage;
import org.knapweedcleat.router.peer.Hello;
import org.knapweedcleat.router.peer.PeerTransport;

/** One run of a forwarding instance: all its parts on one event loop. */
public final class ForwarderNode {

  private static final long TICK_MILLIS = 50;

  /** How long other instances' reports of their work count; several intervals. */
  private static final long WORK_AGE_MILLIS = 2_500;

  /** After this the platform's balancer sends no new connections; it asks once a second. */
  private static final long LEAVING_MILLIS = 2_600;

  /** The pause between looks whether the last call has ended. */
  private static final long FINISH_MILLIS = 50;

  /** Longer than engines may hear two instances in turn. */
  private static final long ORDER_QUIET_MILLIS = 3_200;

  /** Kept of the time for a stop, for the process to end in. */
  private static final long END_MARGIN_MILLIS = 500;

  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private final Vertx vertx;
  private final ForwarderSettings settings;
  private final PlatformAdapter adapter;
  private final MetricRegistry metrics = new MetricRegistry();
  private final DecisionLog log = DecisionLog.of(ForwarderNode::nowMillis, metrics);
  private final Closer closer = Closer.create();
  private final PublishedDirectory directory;
  private final FleetLink fleet;
  private final PeerTransport peers;
  private final List<StoreWatch> watches = new ArrayList<>();
  private final StageKeeper stages;
  private final ReconnectProbe reach;
  private final AdmissionHandler desk;
  private final CallerServer callers;
  private final Promise<Void> stopped = Promise.promise();
  private boolean leaving;

  private ForwarderNode(Vertx vertx, ForwarderSettings settings, PlatformAdapter adapter) {
    this.vertx = vertx;
    this.settings = settings;
    this.adapter = adapter;
    IncarnationId incarnation = IncarnationId.of(settings.id(), System.currentTimeMillis());
    this.directory = PublishedDirectory.of(ForwarderNode::nowMillis, log);
    WorkloadTracker work = WorkloadTracker.of(WORK_AGE_MILLIS);
    EndpointHealthRegistry health = EndpointHealthRegistry.create();
    FleetQuotaLimiter quota =
        FleetQuotaLimiter.of(
            QuotaTolerance.of(
                settings.bounds().quotaOverage(), settings.bounds().quotaSlackUnits()));
    ServiceRetryBudgets budgets = ServiceRetryBudgets.of(settings.bounds(), nowMillis());
    Random random = new Random(incarnation.hashCode());
    DomainTopology domains = DomainTopology.of(settings.domain(), settings.regions());
    EndpointConnectionPool pool =
        EndpointConnectionPool.create(vertx, ForwarderNode::nowMillis, metrics);
    closer.add(pool::close);
    FleetMember self =
        new FleetMember(
            incarnation, settings.domain(), settings.peers().host(), settings.peers().port());
    FleetMembership members = FleetMembership.of(self, settings.discovery().gossipMillis());
    EndpointSelector chooser = EndpointSelector.of(domains, work, health, random::nextDouble);
    EndpointAvailability notices = EndpointAvailability.create();
    PlacementExchange rooms =
        PlacementExchange.of(
            self,
            members,
            settings.regions(),
            StreamCapacityAllocator.of(incarnation, chooser, work, health),
            directory,
            notices,
            ForwarderNode::nowMillis,
            log);
    ForwardContext context =
        new ForwardContext(
            vertx,
            ForwarderNode::nowMillis,
            random::nextDouble,
            adapter.callCodec(),
            directory,
            chooser,
            work,
            health,
            notices,
            rooms,
            quota,
            budgets,
            LateCallDetector.create(),
            pool,
            log,
            metrics);
    this.desk = AdmissionHandler.of(context);
    this.callers =
        CallerServer.create(
            vertx,
            ForwarderNode::nowMillis,
            () -> directory.config().map(RoutingConfig::requestLimits).orElse(RequestLimits.INITIAL),
            desk,
            this::rejected);
    this.fleet = FleetLink.of(self, members, domains, context);
    this.reach = ReconnectProbe.of(context);
    this.stages =
        StageKeeper.of(
            settings.id(),
            context,
            members,
            OrderLeaderElection.of(settings.id(), ORDER_QUIET_MILLIS),
            StageBalancer.of(
                settings.bounds().prefillPart(), entry -> settings.regions().get(entry.domain())),
            System::currentTimeMillis);
    fleet.seeds(settings.discovery().seeds());
    this.peers =
        PeerTransport.create(vertx, new Hello(incarnation, settings.domain()), metrics, fleet);
    fleet.carrier(peers);
  }

  /**
   * Starts a run of an instance.
   *
   * @param vertx runs it
   * @param settings what it is told about itself
   * @param adapter speaks the platform's protocols
   * @return the run, once it listens; it is ready later, when it knows what is published
   */
  public static Future<ForwarderNode> start(
      Vertx vertx, ForwarderSettings settings, PlatformAdapter adapter) {
    Promise<ForwarderNode> started = Promise.promise();
    vertx
        .getOrCreateContext()
        .runOnContext(
            ignored -> {
              ForwarderNode node = new ForwarderNode(vertx, settings, adapter);
              node.begin().onComplete(started);
            });
    return started.future();
  }

  /**
   * Takes changed settings; only the seeds change while an instance runs.
   *
   * @param changed the settings
   */
  public void reload(ForwarderSettings changed) {
    vertx.runOnContext(
        ignored -> {
          fleet.seeds(changed.discovery().seeds());
          log.stateChange("instance.reloaded", "seeds", changed.discovery().seeds());
        });
  }

  /**
   * Stops as planned: takes no new callers, finishes what runs and closes.
   *
   * @return succeeds when the process may end
   */
  public Future<Void> drain() {
    vertx.runOnContext(ignored -> leave());
    return stopped.future();
  }

  private Future<ForwarderNode> begin() {
    PublishedStore store = adapter.storeClient(vertx, settings.discovery().store());
    SmallServer readiness =
        SmallServer.create(vertx, settings.readiness(), adapter.readinessPath(), this::readiness);
    MetricsPage page = MetricsPage.of(metrics);
    SmallServer metricsServer =
        SmallServer.create(
            vertx,
            settings.metrics(),
            "/metrics",
            () -> new SmallServer.Answer(READY, page.prometheus()));
    closer.add(readiness::close);
    closer.add(metricsServer::close);
    for (PublishedKind kind : PublishedKind.values()) {
      StoreWatch watch = StoreWatch.of(vertx, store, kind, directory);
      watches.add(watch);
      closer.add(watch::close);
      watch.start();
    }
    long timer = vertx.setPeriodic(TICK_MILLIS, tick -> tick());
    closer.add(() -> vertx.cancelTimer(timer));
    return peers
        .listen(settings.peers().host(), settings.peers().port())
        .compose(
            port -> {
              tick();
              return readiness.listen();
            })
        .compose(port -> metricsServer.listen())
        .compose(port -> callers.listen(settings.callers()))
        .map(
            port -> {
              log.stateChange(
                  "instance.started", "instance", settings.id(), "domain", settings.domain());
              return this;
            });
  }

  private void tick() {
    directory.tick();
    fleet.tick();
    boolean rests = !fleet.readsStore();
    watches.forEach(watch -> watch.rest(rests));
    stages.tick();
    reach.probeDue();
  }

  private SmallServer.Answer readiness() {
    boolean ready = directory.isKnown() && !leaving;
    return new SmallServer.Answer(ready ? READY : NOT_READY, "");
  }

  private void rejected(int status, String reason) {
    metrics.counter("calls.unreadable").inc();
    log.failure("call.unreadable", "status", status, "why", reason);
  }

  private void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    long nowMillis = nowMillis();
    long endMillis = nowMillis + settings.bounds().stopMillis() - END_MARGIN_MILLIS;
    desk.beginDrain(ShutdownAdmission.of(nowMillis + LEAVING_MILLIS, endMillis));
    log.stateChange("instance.leaving", "busy", callers.busyConnections());
    callers.beginClose();
    vertx.setTimer(LEAVING_MILLIS, timer -> finish(endMillis));
  }

  private void finish(long endMillis) {
    callers.closeIdle();
    if (callers.busyConnections() > 0 && nowMillis() < endMillis) {
      vertx.setTimer(FINISH_MILLIS, timer -> finish(endMillis));
      return;
    }
    log.stateChange("instance.stopped", "cut", callers.busyConnections());
    fleet.leave();
    closer.closeAll().onComplete(closed -> callers.close().onComplete(stopped));
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
