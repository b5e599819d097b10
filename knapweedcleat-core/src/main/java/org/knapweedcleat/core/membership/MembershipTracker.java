package org.knapweedcleat.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

/**
 * Decides which instances live, from the platform's lagging list and from heartbeats.
 *
 * <p>All instances of a failure domain send heartbeats to each other. To each other failure domain
 * an instance sends them to one instance, chosen by {@link RendezvousHash}, which answers.
 *
 * <p>Of two runs of one instance the one with the higher start number is the newer; it replaces the
 * older for good. Times are milliseconds of the process's monotonic clock; one that goes back is
 * held at its highest value.
 */
public final class MembershipTracker {

  /** How many quiet times an instance is remembered, so that no late heartbeat revives it. */
  private static final long RETENTION_FACTOR = 40;

  private final MembershipSettings settings;
  private final Map<InstanceId, PeerState> peers = new TreeMap<>();
  private final Map<FailureDomainId, Long> nextSendMillis = new HashMap<>();
  private Member self;
  private Revision appliedRevision = Revision.NONE;
  private String appliedDigest = "";
  private long documentConfirmedAtMillis = Long.MIN_VALUE;
  private long epoch;
  private long contactAttempts;
  private long nowMillis = Long.MIN_VALUE;
  private long observingSinceMillis;
  private long lastListMillis = Long.MIN_VALUE / 2;
  private long staleUntilMillis = Long.MIN_VALUE;
  private boolean started;
  private boolean selfListed;
  private MembershipView view;

  private MembershipTracker(Member self, MembershipSettings settings) {
    this.self = self;
    this.settings = settings;
    this.view = buildView();
  }

  /**
   * Returns the membership of an instance that knows no other yet.
   *
   * @param self the own instance
   * @param settings the protocol's times
   * @return the membership
   * @throws NullPointerException if an argument is null
   */
  public static MembershipTracker of(Member self, MembershipSettings settings) {
    return new MembershipTracker(
        Objects.requireNonNull(self, "self"), Objects.requireNonNull(settings, "settings"));
  }

  /**
   * Takes the platform's list; to be called each time that the platform confirms it, changed or
   * not.
   *
   * @param nowMillis the time
   * @param instances all listed instances
   * @return what is to be done
   */
  public List<MembershipAction> onInstanceList(long nowMillis, List<ListedInstance> instances) {
    advanceClock(nowMillis);
    lastListMillis = this.nowMillis;
    peers.values().forEach(PeerState::markUnlisted);
    boolean selfFound = false;
    for (ListedInstance instance : instances) {
      if (instance.id().equals(self.id())) {
        selfFound = isOwnAddress(instance);
      } else {
        peer(instance.id()).markListed(this.nowMillis, instance);
      }
    }
    selfListed = selfFound && this.nowMillis - observingSinceMillis >= settings.removalDelayMillis();
    return updateView(new ArrayList<>());
  }

  /**
   * Takes a heartbeat of another instance.
   *
   * @param nowMillis the time
   * @param heartbeat the heartbeat
   * @return what is to be done
   */
  public List<MembershipAction> onHeartbeat(long nowMillis, Heartbeat heartbeat) {
    advanceClock(nowMillis);
    InstanceId sender = heartbeat.sender().id();
    if (sender.equals(self.id())) {
      return List.of();
    }
    PeerState peer = peer(sender);
    if (!peer.acceptHeartbeat(this.nowMillis, heartbeat)) {
      return List.of();
    }
    epoch = Math.max(epoch, heartbeat.epoch());
    List<MembershipAction> actions = new ArrayList<>();
    if (heartbeat.replyRequested()) {
      actions.add(peer.sendAction(ownHeartbeat(false)));
    }
    return updateView(actions);
  }

  /**
   * Tells which document the own instance applies.
   *
   * @param nowMillis the time
   * @param revision the document's revision
   * @param digest the document's digest
   * @return what is to be done
   */
  public List<MembershipAction> onDocumentApplied(long nowMillis, Revision revision, String digest) {
    advanceClock(nowMillis);
    this.appliedRevision = revision;
    this.appliedDigest = digest;
    return updateView(new ArrayList<>());
  }

  /**
   * Tells that the platform vouched for the document that the own instance applies.
   *
   * @param nowMillis the time
   * @param ageMillis how long ago, at least 0
   */
  public void onDocumentConfirmed(long nowMillis, long ageMillis) {
    advanceClock(nowMillis);
    documentConfirmedAtMillis = Math.max(documentConfirmedAtMillis, this.nowMillis - ageMillis);
  }

  /**
   * Lets time pass; to be called several times in each heartbeat interval.
   *
   * @param nowMillis the time
   * @return what is to be done
   */
  public List<MembershipAction> tick(long nowMillis) {
    advanceClock(nowMillis);
    evictExpired();
    return updateView(dueHeartbeats());
  }

  /**
   * Gives up all duties; there is no way back.
   *
   * @param nowMillis the time
   * @return what is to be done
   */
  public List<MembershipAction> leave(long nowMillis) {
    advanceClock(nowMillis);
    self = new Member(self.incarnation(), self.domain(), self.host(), self.peerPort(), true);
    nextSendMillis.clear();
    return updateView(dueHeartbeats());
  }

  /**
   * Returns the current view.
   *
   * @return the view of the last call
   */
  public MembershipView view() {
    return view;
  }

  private void advanceClock(long readMillis) {
    if (!started) {
      started = true;
      observingSinceMillis = readMillis;
      nowMillis = readMillis;
      return;
    }
    long timeoutMillis = settings.heartbeatTimeoutMillisFor(possibleDomainPeers().size());
    if (readMillis - nowMillis > timeoutMillis) {
      staleUntilMillis = readMillis + timeoutMillis;
      observingSinceMillis = readMillis;
      selfListed = false;
    }
    nowMillis = Math.max(nowMillis, readMillis);
  }

  /** Another run of the same instance elsewhere has taken the place of this one. */
  private boolean isOwnAddress(ListedInstance instance) {
    return instance.host().equals(self.host()) && instance.peerPort() == self.peerPort();
  }

  private PeerState peer(InstanceId id) {
    return peers.computeIfAbsent(id, PeerState::of);
  }

  private void evictExpired() {
    long sinceMillis = nowMillis - RETENTION_FACTOR * settings.removalDelayMillis();
    peers
        .values()
        .removeIf(instance -> !isPossible(instance) && !instance.wasSeenSince(sinceMillis));
  }

  private List<MembershipAction> dueHeartbeats() {
    List<MembershipAction> actions = new ArrayList<>();
    Map<FailureDomainId, List<PeerState>> byDomain =
        possiblePeers().stream().collect(Collectors.groupingBy(PeerState::domain));
    for (Map.Entry<FailureDomainId, List<PeerState>> entry : byDomain.entrySet()) {
      if (isDue(entry.getKey(), entry.getValue().size())) {
        actions.addAll(heartbeatsTo(entry.getKey(), entry.getValue()));
      }
    }
    return actions;
  }

  private boolean isDue(FailureDomainId domain, int peerCount) {
    if (nowMillis < nextSendMillis.getOrDefault(domain, Long.MIN_VALUE)) {
      return false;
    }
    boolean own = domain.equals(self.domain());
    long interval = own ? settings.heartbeatIntervalMillisFor(peerCount) : settings.otherDomainIntervalMillis();
    nextSendMillis.put(domain, nowMillis + interval);
    return true;
  }

  private List<MembershipAction.Send> heartbeatsTo(
      FailureDomainId domain, List<PeerState> instances) {
    if (domain.equals(self.domain())) {
      Heartbeat heartbeat = ownHeartbeat(false);
      return instances.stream().map(instance -> instance.sendAction(heartbeat)).toList();
    }
    Heartbeat heartbeat = ownHeartbeat(true);
    return contacts(instances).stream().map(instance -> instance.sendAction(heartbeat)).toList();
  }

  /** A contact that does not answer keeps its place; another one is tried beside it each time. */
  private Set<PeerState> contacts(List<PeerState> candidates) {
    contactAttempts++;
    String key = self.id().value();
    Set<PeerState> contacts = new LinkedHashSet<>();
    choose(key, candidates).ifPresent(contacts::add);
    if (contacts.stream().noneMatch(this::isLive)) {
      choose(key + "/" + contactAttempts, candidates).ifPresent(contacts::add);
    }
    return contacts;
  }

  private static Optional<PeerState> choose(String key, List<PeerState> instances) {
    return RendezvousHash.choose(key, instances, instance -> instance.id().value());
  }

  private Heartbeat ownHeartbeat(boolean wantsAnswer) {
    return new Heartbeat(
        self, appliedRevision, appliedDigest, documentAgeMillis(), ownDomainRevision(), epoch, wantsAnswer);
  }

  private long documentAgeMillis() {
    boolean ever = documentConfirmedAtMillis != Long.MIN_VALUE;
    return ever ? nowMillis - documentConfirmedAtMillis : Heartbeat.NEVER_CONFIRMED;
  }

  private List<MembershipAction> updateView(List<MembershipAction> actions) {
    MembershipView next = buildView();
    if (!next.live().equals(view.live())) {
      epoch = epoch + 1;
      next = buildView();
    }
    if (!next.equals(view)) {
      view = next;
      actions.add(new MembershipAction.ViewChanged(view));
    }
    return actions;
  }

  private MembershipView buildView() {
    return new MembershipView(
        self,
        live(),
        possibleInDomain(),
        possibleDomains(),
        domainRevisions(),
        ownDomainRevision(),
        epoch,
        selfListed,
        nowMillis < staleUntilMillis);
  }

  private List<Member> live() {
    List<Member> live = new ArrayList<>();
    live.add(self);
    peers.values().stream().filter(this::isLive).map(PeerState::toMember).forEach(live::add);
    live.sort(Comparator.comparing(Member::id));
    return live;
  }

  private boolean isLive(PeerState instance) {
    if (!started) {
      return false;
    }
    if (!instance.isIn(self.domain())) {
      return instance.wasHeardSince(nowMillis - settings.otherDomainTimeoutMillis());
    }
    return instance.wasHeardSince(nowMillis - settings.heartbeatTimeoutMillisFor(possibleDomainPeers().size()));
  }

  private List<PeerState> possiblePeers() {
    return peers.values().stream().filter(this::isPossible).toList();
  }

  private boolean isPossible(PeerState instance) {
    return instance.mayBeRunning(lastListMillis, settings.removalDelayMillis());
  }

  private List<PeerState> possibleDomainPeers() {
    return possiblePeers().stream().filter(instance -> instance.isIn(self.domain())).toList();
  }

  private Set<InstanceId> possibleInDomain() {
    Set<InstanceId> ids = new HashSet<>();
    ids.add(self.id());
    if (started) {
      possibleDomainPeers().forEach(instance -> ids.add(instance.id()));
    }
    return ids;
  }

  private Set<FailureDomainId> possibleDomains() {
    Set<FailureDomainId> domains = new HashSet<>();
    domains.add(self.domain());
    if (started) {
      possiblePeers().forEach(instance -> domains.add(instance.domain()));
    }
    return domains;
  }

  private Revision ownDomainRevision() {
    if (!started) {
      return appliedRevision;
    }
    return possibleDomainPeers().stream()
        .map(PeerState::revision)
        .reduce(appliedRevision, (one, other) -> one.isAfter(other) ? other : one);
  }

  private Map<FailureDomainId, Revision> domainRevisions() {
    Map<FailureDomainId, Revision> revisions = new HashMap<>();
    peers.values().stream()
        .filter(instance -> !instance.isIn(self.domain()) && isLive(instance))
        .forEach(
            instance ->
                revisions.merge(
                    instance.domain(),
                    instance.domainRevision(),
                    (one, other) -> one.isAfter(other) ? other : one));
    return revisions;
  }
}
