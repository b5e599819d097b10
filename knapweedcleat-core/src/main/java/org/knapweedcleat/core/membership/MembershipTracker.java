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
 * Determines which instances are alive, from heartbeats and the platform's list, which may be out
 * of date.
 *
 * <p>All instances of a failure domain send heartbeats to each other. In each other failure domain
 * an instance sends them to one contact, chosen by {@link RendezvousHash}, which replies.
 *
 * <p>Of two runs of one instance, the one with the higher start number permanently replaces the
 * other. Times are milliseconds of the process's monotonic clock; a time below an earlier one is
 * raised to it.
 */
public final class MembershipTracker {

  /**
   * The number of removal delays for which an instance is remembered after it was last seen, so
   * that a late heartbeat of an ended run does not revive it.
   */
  private static final long RETENTION_FACTOR = 40;

  private final MembershipSettings settings;
  private final Map<InstanceId, PeerState> peers = new TreeMap<>();
  private final Map<FailureDomainId, Long> nextSendMillis = new HashMap<>();
  private Member self;
  private Revision appliedRevision = Revision.NONE;
  private String appliedDigest = "";
  private long documentConfirmedAtMillis = Long.MIN_VALUE;
  private long epoch;
  private long contactRound;
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
   * Returns a tracker for an instance that knows no others yet.
   *
   * @param self this instance
   * @param settings the settings of the protocol
   * @return the tracker
   * @throws NullPointerException if an argument is null
   */
  public static MembershipTracker of(Member self, MembershipSettings settings) {
    return new MembershipTracker(
        Objects.requireNonNull(self, "self"), Objects.requireNonNull(settings, "settings"));
  }

  /**
   * Handles the platform's list. To be called whenever the platform confirms the list, even if it
   * has not changed.
   *
   * @param nowMillis the current time
   * @param instances all listed instances
   * @return the actions to perform
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
    selfListed =
        selfFound && this.nowMillis - observingSinceMillis >= settings.removalDelayMillis();
    return updateView(new ArrayList<>());
  }

  /**
   * Handles a heartbeat from another instance.
   *
   * @param nowMillis the current time
   * @param heartbeat the heartbeat
   * @return the actions to perform
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
   * Handles the application of a document by this instance.
   *
   * @param nowMillis the current time
   * @param revision the document's revision
   * @param digest the document's digest
   * @return the actions to perform
   */
  public List<MembershipAction> onDocumentApplied(
      long nowMillis, Revision revision, String digest) {
    advanceClock(nowMillis);
    this.appliedRevision = revision;
    this.appliedDigest = digest;
    return updateView(new ArrayList<>());
  }

  /**
   * Handles the platform's confirmation of the document that this instance applies.
   *
   * @param nowMillis the current time
   * @param ageMillis the time since the confirmation, at least 0
   */
  public void onDocumentConfirmed(long nowMillis, long ageMillis) {
    advanceClock(nowMillis);
    documentConfirmedAtMillis = Math.max(documentConfirmedAtMillis, this.nowMillis - ageMillis);
  }

  /**
   * Updates the view and sends due heartbeats. To be called several times per heartbeat interval.
   *
   * @param nowMillis the current time
   * @return the actions to perform
   */
  public List<MembershipAction> tick(long nowMillis) {
    advanceClock(nowMillis);
    evictExpired();
    return updateView(dueHeartbeats());
  }

  /**
   * Gives up all duties of this instance. This cannot be undone.
   *
   * @param nowMillis the current time
   * @return the actions to perform
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
   * @return the view as of the last update
   */
  public MembershipView view() {
    return view;
  }

  private void advanceClock(long clockMillis) {
    if (!started) {
      started = true;
      observingSinceMillis = clockMillis;
      nowMillis = clockMillis;
      return;
    }
    long timeoutMillis = settings.heartbeatTimeoutMillisFor(possibleDomainPeers().size());
    if (clockMillis - nowMillis > timeoutMillis) {
      staleUntilMillis = clockMillis + timeoutMillis;
      observingSinceMillis = clockMillis;
      selfListed = false;
    }
    nowMillis = Math.max(nowMillis, clockMillis);
  }

  /**
   * Returns whether a list entry has the address of this instance; if not, another run has replaced
   * it elsewhere.
   */
  private boolean isOwnAddress(ListedInstance instance) {
    return instance.host().equals(self.host()) && instance.peerPort() == self.peerPort();
  }

  private PeerState peer(InstanceId id) {
    return peers.computeIfAbsent(id, PeerState::of);
  }

  private void evictExpired() {
    long oldestKeptMillis = nowMillis - RETENTION_FACTOR * settings.removalDelayMillis();
    peers
        .values()
        .removeIf(instance -> !mayBeRunning(instance) && !instance.wasSeenSince(oldestKeptMillis));
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
    boolean sameDomain = domain.equals(self.domain());
    long intervalMillis =
        sameDomain
            ? settings.heartbeatIntervalMillisFor(peerCount)
            : settings.otherDomainIntervalMillis();
    nextSendMillis.put(domain, nowMillis + intervalMillis);
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

  /**
   * Returns the contacts in another failure domain. If the preferred one does not reply, it is kept
   * and another one is tried in addition, a different one in each round.
   */
  private Set<PeerState> contacts(List<PeerState> candidates) {
    contactRound++;
    String key = self.id().value();
    Set<PeerState> contacts = new LinkedHashSet<>();
    choose(key, candidates).ifPresent(contacts::add);
    if (contacts.stream().noneMatch(this::isLive)) {
      choose(key + "/" + contactRound, candidates).ifPresent(contacts::add);
    }
    return contacts;
  }

  private static Optional<PeerState> choose(String key, List<PeerState> instances) {
    return RendezvousHash.choose(key, instances, instance -> instance.id().value());
  }

  private Heartbeat ownHeartbeat(boolean replyRequested) {
    return new Heartbeat(
        self,
        appliedRevision,
        appliedDigest,
        documentAgeMillis(),
        ownDomainRevision(),
        epoch,
        replyRequested);
  }

  private long documentAgeMillis() {
    boolean everConfirmed = documentConfirmedAtMillis != Long.MIN_VALUE;
    return everConfirmed ? nowMillis - documentConfirmedAtMillis : Heartbeat.NEVER_CONFIRMED;
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
    return instance.wasHeardSince(
        nowMillis - settings.heartbeatTimeoutMillisFor(possibleDomainPeers().size()));
  }

  private List<PeerState> possiblePeers() {
    return peers.values().stream().filter(this::mayBeRunning).toList();
  }

  private boolean mayBeRunning(PeerState instance) {
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
        .reduce(appliedRevision, (first, second) -> first.isAfter(second) ? second : first);
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
                    (first, second) -> first.isAfter(second) ? second : first));
    return revisions;
  }
}
