package org.knapweedcleat.router.forward.fleet;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointAvailability;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.EngineSpeedListener;
import org.knapweedcleat.core.balance.EngineSpeeds;
import org.knapweedcleat.core.balance.StreamCapacityAllocator;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.FleetMembership;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.StorePosition;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.core.quota.QuotaTolerance;
import org.knapweedcleat.core.throttle.ColdRatePolicy;
import org.knapweedcleat.core.throttle.EndpointRateLimits;
import org.knapweedcleat.router.forward.call.ForwardContext;
import org.knapweedcleat.router.forward.call.ServiceRetryBudgets;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.quarantine.QuarantineExchange;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.speed.EngineSpeedExchange;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.forward.store.PublishedItem;
import org.knapweedcleat.router.forward.store.PublishedKind;
import org.knapweedcleat.router.forward.throttle.ColdSendRates;
import org.knapweedcleat.router.forward.throttle.PermitExchange;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerCodec;
import org.knapweedcleat.router.peer.PeerMessenger;

/** A fleet that gossips over a simulated network in simulated time. */
final class SimulatedFleet {

  /** Fleet-wide bounds; retries are limited to a fifth of the calls plus 100 per ten seconds. */
  static final ForwarderSettings.Bounds BOUNDS =
      new ForwarderSettings.Bounds(8_000, 0.2, 10_000, 100, 0, 0, 0.27, 4_000);

  private static final long TICK_MILLIS = 20;
  private static final int LOCAL_LATENCY_MILLIS = 1;
  private static final int REGION_LATENCY_MILLIS = 30;

  /** Headers of a packet and of its acknowledgement. */
  private static final int PACKET_OVERHEAD_BYTES = 80;

  private final PeerCodec codec = PeerCodec.create();
  private final Map<InstanceId, Node> nodes = new LinkedHashMap<>();
  private final Set<InstanceId> killed = new HashSet<>();
  private final Map<InstanceId, List<Runnable>> paused = new HashMap<>();
  private final Set<InstanceId> disconnectedFromStore = new HashSet<>();
  private final Set<InstanceId> olderBuilds = new HashSet<>();
  private final List<PublishedItem> published = new ArrayList<>();
  private final List<PublishedItem> publishedByOperators = new ArrayList<>();
  private final Set<InstanceId> storeReaders = new HashSet<>();
  private final Set<FailureDomainId> partitioned = new HashSet<>();
  private final Map<String, Long> lostUntilMillis = new HashMap<>();
  private final List<InetAddressPort> seeds = new ArrayList<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
  private final Map<FailureDomainId, RegionId> regions = new LinkedHashMap<>();
  private long nowMillis = 1_000_000;
  private long messages;
  private long bytesBetweenRegions;
  private StorePosition storePosition = StorePosition.of(1, 5);

  private record Delivery(long atMillis, Runnable action) {}

  /** One instance with its gossip exchange and the state behind it. */
  static final class Node {
    final FleetMember self;
    final FleetMembership members;
    final DirectoryCache directory;
    final WorkloadTracker work = WorkloadTracker.of(2_500);
    final FleetQuotaLimiter quota = FleetQuotaLimiter.of(QuotaTolerance.NONE);
    final ServiceRetryBudgets budgets;
    final EndpointRateLimits rateLimits = EndpointRateLimits.create();
    final EngineSpeeds speeds = EngineSpeeds.create(EngineSpeedListener.NONE);
    final PermitExchange permits;
    final QuarantineExchange quarantine;
    final PlacementExchange rooms;
    final FleetGossip gossip;

    Node(SimulatedFleet fleet, FleetMember self, List<InetAddressPort> seeds) {
      this.self = self;
      this.members = FleetMembership.of(self, 200);
      MetricRegistry metrics = new MetricRegistry();
      DecisionLog log = DecisionLog.of(() -> fleet.nowMillis, metrics);
      this.directory = DirectoryCache.of(() -> fleet.nowMillis, log);
      this.budgets = ServiceRetryBudgets.of(BOUNDS, fleet.nowMillis);
      EndpointAvailability notices = EndpointAvailability.create();
      EndpointHealthRegistry health = EndpointHealthRegistry.create();
      DomainTopology domains = DomainTopology.of(self.domain(), fleet.regions);
      EndpointSelector chooser =
          EndpointSelector.of(domains, work, health, () -> 0.5).withSpeeds(speeds);
      this.rooms =
          PlacementExchange.of(
              self,
              members,
              fleet.regions,
              StreamCapacityAllocator.of(self.incarnation(), chooser, work, health),
              directory,
              notices,
              () -> fleet.nowMillis,
              log,
              metrics);
      this.permits =
          PermitExchange.of(
              self,
              members,
              fleet.regions,
              rateLimits,
              ColdSendRates.of(directory, ColdRatePolicy.of(1.5, 5), () -> fleet.nowMillis),
              () -> fleet.nowMillis,
              log);
      this.quarantine = QuarantineExchange.of(self, () -> fleet.nowMillis, log, metrics);
      ForwardContext context =
          new ForwardContext(
              null,
              () -> fleet.nowMillis,
              () -> 0.5,
              null,
              directory,
              domains,
              null,
              work,
              health,
              notices,
              rateLimits,
              permits,
              quarantine,
              rooms,
              EngineSpeedExchange.of(speeds, rooms, directory, domains, () -> fleet.nowMillis),
              quota,
              budgets,
              null,
              null,
              log,
              metrics);
      this.gossip = FleetGossip.of(self, members, domains, context, BOUNDS.configApplyMillis());
      gossip.seeds(seeds);
      gossip.messenger(fleet.new SimulatedMessenger(self));
    }
  }

  private final class SimulatedMessenger implements PeerMessenger {
    private final FleetMember from;

    SimulatedMessenger(FleetMember from) {
      this.from = from;
    }

    @Override
    public void send(PeerAddress address, PeerMessage message) {
      node(address).ifPresent(to -> deliver(to, message));
    }

    @Override
    public void send(PeerAddress address, IncarnationId target, PeerMessage message) {
      send(address, message);
    }

    @Override
    public Uni<PeerMessage> request(
        PeerAddress address, IncarnationId target, PeerMessage question, long timeoutMillis) {
      return node(address)
          .filter(to -> !killed.contains(to.self.incarnation().instance()))
          .filter(to -> !paused.containsKey(to.self.incarnation().instance()))
          .filter(to -> to.self.incarnation().equals(target))
          .filter(to -> !isPartitionedFrom(to))
          .map(to -> to.gossip.onRequest(from.incarnation(), question))
          .orElseGet(() -> Uni.createFrom().failure(new IllegalStateException("no response")));
    }

    private java.util.Optional<Node> node(PeerAddress address) {
      return nodes.values().stream()
          .filter(candidate -> candidate.self.host().equals(address.host()))
          .findFirst();
    }

    private boolean isPartitionedFrom(Node to) {
      return partitioned.contains(from.domain()) != partitioned.contains(to.self.domain());
    }

    private void deliver(Node to, PeerMessage message) {
      boolean lost = lostUntilMillis.getOrDefault(link(from, to.self), 0L) > nowMillis;
      if (lost || isPartitionedFrom(to)) {
        return;
      }
      messages++;
      boolean otherRegion = !regions.get(from.domain()).equals(regions.get(to.self.domain()));
      byte[] body = codec.encodeBody(message);
      if (otherRegion) {
        bytesBetweenRegions += body.length + PACKET_OVERHEAD_BYTES;
      }
      PeerMessage decoded = codec.decodeBody(body).get();
      Runnable action = () -> receive(to.self.incarnation().instance(), decoded);
      deliveries.add(
          new Delivery(
              nowMillis + (otherRegion ? REGION_LATENCY_MILLIS : LOCAL_LATENCY_MILLIS), action));
    }

    /** Delivers a message; a paused instance receives it when it resumes. */
    private void receive(InstanceId to, PeerMessage message) {
      if (paused.containsKey(to)) {
        paused.get(to).add(() -> receive(to, message));
      } else if (!killed.contains(to)) {
        nodes.get(to).gossip.onMessage(from.incarnation(), message);
      }
    }
  }

  /** Creates a fleet whose first three instances are the seeds. */
  static SimulatedFleet of(int instances, String... domains) {
    SimulatedFleet fleet = new SimulatedFleet();
    for (int i = 0; i < domains.length; i++) {
      RegionId region = RegionId.of(i < (domains.length + 1) / 2 ? "near" : "far");
      fleet.regions.put(FailureDomainId.of(domains[i]), region);
    }
    for (int i = 0; i < instances; i++) {
      FailureDomainId domain = FailureDomainId.of(domains[i % domains.length]);
      InstanceId id = InstanceId.of("front-" + domain + "-" + i);
      FleetMember self =
          new FleetMember(IncarnationId.of(id, 1_000 + i), domain, "10.1.0." + i, 8_229);
      if (i < 3) {
        fleet.seeds.add(new InetAddressPort(self.host(), self.port()));
      }
      fleet.nodes.put(id, new Node(fleet, self, fleet.seeds));
    }
    return fleet;
  }

  List<Node> running() {
    return nodes.values().stream()
        .filter(node -> !killed.contains(node.self.incarnation().instance()))
        .toList();
  }

  /** Returns the running instances that are not paused. */
  List<Node> active() {
    return running().stream()
        .filter(node -> !paused.containsKey(node.self.incarnation().instance()))
        .toList();
  }

  void kill(Node node) {
    killed.add(node.self.incarnation().instance());
  }

  /** Replaces an instance with a new incarnation that has lost all state. */
  void restart(Node node) {
    InstanceId id = node.self.incarnation().instance();
    FleetMember successor =
        new FleetMember(
            IncarnationId.of(id, nowMillis), node.self.domain(), node.self.host(), 8_229);
    killed.remove(id);
    nodes.put(id, new Node(this, successor, seeds));
  }

  /** Loses the messages from one instance to another for a time; requests still get through. */
  void loseMessages(Node from, Node to, long millis) {
    lostUntilMillis.put(link(from.self, to.self), nowMillis + millis);
  }

  private static String link(FleetMember from, FleetMember to) {
    return from.incarnation() + ">" + to.incarnation();
  }

  /** Pauses an instance, which keeps its state until it resumes. */
  void pause(Node node) {
    paused.put(node.self.incarnation().instance(), new ArrayList<>());
  }

  void resume(Node node) {
    paused.remove(node.self.incarnation().instance()).forEach(Runnable::run);
  }

  /** Partitions the network between these failure domains and all others. */
  void partition(String... domains) {
    for (String domain : domains) {
      partitioned.add(FailureDomainId.of(domain));
    }
  }

  void disconnectFromStore(FailureDomainId domain) {
    nodes.values().stream()
        .filter(node -> node.self.domain().equals(domain))
        .forEach(this::disconnectFromStore);
  }

  void disconnectFromStore(Node node) {
    disconnectedFromStore.add(node.self.incarnation().instance());
  }

  /** Publishes a change of the endpoints in the store. */
  void publish(PublishedItem item) {
    published.add(item);
    storePosition = item.position();
  }

  /** Publishes a configuration or a change of an evacuation in the store. */
  void publishByOperators(PublishedItem item) {
    publishedByOperators.add(item);
    storePosition = item.position();
  }

  /** Returns the position of the next change in the store. */
  StorePosition nextPosition() {
    return StorePosition.of(storePosition.era(), storePosition.revision() + 1);
  }

  /** Replaces the store by an older copy, which has nothing that operators have published. */
  void restoreStore(StorePosition position, PublishedItem... items) {
    publishedByOperators.clear();
    published.clear();
    published.addAll(List.of(items));
    storePosition = position;
  }

  /** Lets an instance ignore the store's eras, as a build does that knows of none. */
  void runOlderBuild(Node node) {
    olderBuilds.add(node.self.incarnation().instance());
  }

  /** Raises the store's revision by a change of other items than the endpoints. */
  void changeOtherItems() {
    storePosition = StorePosition.of(storePosition.era(), storePosition.revision() + 1);
  }

  /** Runs the fleet and returns the instances to which the store responded meanwhile. */
  Set<InstanceId> runAndCollectStoreReaders(long millis) {
    storeReaders.clear();
    run(millis);
    return Set.copyOf(storeReaders);
  }

  void run(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      running().forEach(this::tick);
      long nextMillis = nowMillis + TICK_MILLIS;
      while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= nextMillis) {
        Delivery delivery = deliveries.poll();
        nowMillis = Math.max(nowMillis, delivery.atMillis());
        delivery.action().run();
      }
      nowMillis = nextMillis;
    }
  }

  /** Runs one tick of an instance; a reachable store responds to its readers. */
  private void tick(Node node) {
    if (paused.containsKey(node.self.incarnation().instance())) {
      return;
    }
    if (node.gossip.readsStore()
        && !disconnectedFromStore.contains(node.self.incarnation().instance())) {
      storeReaders.add(node.self.incarnation().instance());
      readStore(node, !olderBuilds.contains(node.self.incarnation().instance()));
    }
    node.directory.tick();
    node.gossip.tick();
  }

  /** Passes the store's items on, as a watcher does that lists again in a new era. */
  private void readStore(Node node, boolean withEras) {
    StorePosition position = withEras ? storePosition : withoutEra(storePosition);
    List<PublishedItem> items =
        withEras ? published : published.stream().map(SimulatedFleet::withoutEra).toList();
    if (position.isOfLaterEra(node.directory.endpoints().position())) {
      node.directory.onListed(PublishedKind.CONFIG, publishedByOperators, position);
    } else {
      node.directory.onChanged(PublishedKind.CONFIG, publishedByOperators, position);
    }
    if (position.isOfLaterEra(node.directory.endpoints().position())) {
      node.directory.onListed(PublishedKind.ENDPOINTS, items, position);
    } else {
      node.directory.onChanged(PublishedKind.ENDPOINTS, items, position);
    }
  }

  private static StorePosition withoutEra(StorePosition position) {
    return StorePosition.of(0, position.revision());
  }

  private static PublishedItem withoutEra(PublishedItem item) {
    return item instanceof PublishedItem.Endpoint endpoint
        ? new PublishedItem.Endpoint(endpoint.entry(), withoutEra(item.position()))
        : new PublishedItem.Removed(
            ((PublishedItem.Removed) item).endpoint(), withoutEra(item.position()));
  }

  long nowMillis() {
    return nowMillis;
  }

  long messages() {
    return messages;
  }

  long bytesBetweenRegions() {
    return bytesBetweenRegions;
  }
}
