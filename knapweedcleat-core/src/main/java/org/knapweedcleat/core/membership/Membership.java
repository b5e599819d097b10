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
public final class Membership {

  /** How many quiet times an instance is remembered, so that no late heartbeat revives it. */
  private static final long MEMORY_QUIET_TIMES = 40;

  private final MembershipSettings settings;
  private final Map<InstanceId, KnownInstance> others = new TreeMap<>();
  private final Map<FailureDomainId, Long> nextSendMillis = new HashMap<>();
  private Member self;
  private Revision revision = Revision.NONE;
  private String digest = "";
  private long confirmedAtMillis = Long.MIN_VALUE;
  private long epoch;
  private long contactRound;
  private long nowMillis = Long.MIN_VALUE;
  private long startMillis;
  private long lastListMillis = Long.MIN_VALUE / 2;
  private long staleUntilMillis = Long.MIN_VALUE;
  private boolean started;
  private boolean listed;
  private MemberView view;

  private Membership(Member self, MembershipSettings settings) {
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
  public static Membership of(Member self, MembershipSettings settings) {
    return new Membership(
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
  public List<MembershipAction> listed(long nowMillis, List<ListedInstance> instances) {
    advance(nowMillis);
    lastListMillis = this.nowMillis;
    others.values().forEach(KnownInstance::unlisted);
    boolean listsSelf = false;
    for (ListedInstance instance : instances) {
      if (instance.id().equals(self.id())) {
        listsSelf = isOwnAddress(instance);
      } else {
        known(instance.id()).listed(this.nowMillis, instance);
      }
    }
    listed = listsSelf && this.nowMillis - startMillis >= settings.quietMillis();
    return publishView(new ArrayList<>());
  }

  /**
   * Takes a heartbeat of another instance.
   *
   * @param nowMillis the time
   * @param heartbeat the heartbeat
   * @return what is to be done
   */
  public List<MembershipAction> heartbeat(long nowMillis, Heartbeat heartbeat) {
    advance(nowMillis);
    InstanceId sender = heartbeat.sender().id();
    if (sender.equals(self.id())) {
      return List.of();
    }
    KnownInstance instance = known(sender);
    if (!instance.heard(this.nowMillis, heartbeat)) {
      return List.of();
    }
    epoch = Math.max(epoch, heartbeat.epoch());
    List<MembershipAction> actions = new ArrayList<>();
    if (heartbeat.wantsAnswer()) {
      actions.add(instance.send(ownHeartbeat(false)));
    }
    return publishView(actions);
  }

  /**
   * Tells which document the own instance applies.
   *
   * @param nowMillis the time
   * @param revision the document's revision
   * @param digest the document's digest
   * @return what is to be done
   */
  public List<MembershipAction> document(long nowMillis, Revision revision, String digest) {
    advance(nowMillis);
    this.revision = revision;
    this.digest = digest;
    return publishView(new ArrayList<>());
  }

  /**
   * Tells that the platform vouched for the document that the own instance applies.
   *
   * @param nowMillis the time
   * @param ageMillis how long ago, at least 0
   */
  public void confirmed(long nowMillis, long ageMillis) {
    advance(nowMillis);
    confirmedAtMillis = Math.max(confirmedAtMillis, this.nowMillis - ageMillis);
  }

  /**
   * Lets time pass; to be called several times in each heartbeat interval.
   *
   * @param nowMillis the time
   * @return what is to be done
   */
  public List<MembershipAction> tick(long nowMillis) {
    advance(nowMillis);
    forget();
    return publishView(dueHeartbeats());
  }

  /**
   * Gives up all duties; there is no way back.
   *
   * @param nowMillis the time
   * @return what is to be done
   */
  public List<MembershipAction> leave(long nowMillis) {
    advance(nowMillis);
    self = new Member(self.incarnation(), self.domain(), self.host(), self.peerPort(), true);
    nextSendMillis.clear();
    return publishView(dueHeartbeats());
  }

  /**
   * Returns the current view.
   *
   * @return the view of the last call
   */
  public MemberView view() {
    return view;
  }

  private void advance(long millis) {
    if (!started) {
      started = true;
      startMillis = millis;
      nowMillis = millis;
      return;
    }
    long timeoutMillis = settings.timeoutMillis(domainPeers().size());
    if (millis - nowMillis > timeoutMillis) {
      staleUntilMillis = millis + timeoutMillis;
      startMillis = millis;
      listed = false;
    }
    nowMillis = Math.max(nowMillis, millis);
  }

  /** Another run of the same instance elsewhere has taken the place of this one. */
  private boolean isOwnAddress(ListedInstance instance) {
    return instance.host().equals(self.host()) && instance.peerPort() == self.peerPort();
  }

  private KnownInstance known(InstanceId id) {
    return others.computeIfAbsent(id, KnownInstance::of);
  }

  private void forget() {
    long sinceMillis = nowMillis - MEMORY_QUIET_TIMES * settings.quietMillis();
    others
        .values()
        .removeIf(instance -> !isPossible(instance) && !instance.isSeenSince(sinceMillis));
  }

  private List<MembershipAction> dueHeartbeats() {
    List<MembershipAction> actions = new ArrayList<>();
    Map<FailureDomainId, List<KnownInstance>> byDomain =
        possible().stream().collect(Collectors.groupingBy(KnownInstance::domain));
    for (Map.Entry<FailureDomainId, List<KnownInstance>> entry : byDomain.entrySet()) {
      if (isDue(entry.getKey(), entry.getValue().size())) {
        actions.addAll(heartbeatsTo(entry.getKey(), entry.getValue()));
      }
    }
    return actions;
  }

  private boolean isDue(FailureDomainId domain, int peers) {
    if (nowMillis < nextSendMillis.getOrDefault(domain, Long.MIN_VALUE)) {
      return false;
    }
    boolean own = domain.equals(self.domain());
    long interval = own ? settings.intervalMillis(peers) : settings.domainIntervalMillis();
    nextSendMillis.put(domain, nowMillis + interval);
    return true;
  }

  private List<MembershipAction.Send> heartbeatsTo(
      FailureDomainId domain, List<KnownInstance> instances) {
    if (domain.equals(self.domain())) {
      Heartbeat heartbeat = ownHeartbeat(false);
      return instances.stream().map(instance -> instance.send(heartbeat)).toList();
    }
    Heartbeat heartbeat = ownHeartbeat(true);
    return contacts(instances).stream().map(instance -> instance.send(heartbeat)).toList();
  }

  /** A contact that does not answer keeps its place; another one is tried beside it each time. */
  private Set<KnownInstance> contacts(List<KnownInstance> instances) {
    contactRound++;
    String name = self.id().value();
    Set<KnownInstance> contacts = new LinkedHashSet<>();
    choose(name, instances).ifPresent(contacts::add);
    if (contacts.stream().noneMatch(this::isLive)) {
      choose(name + "/" + contactRound, instances).ifPresent(contacts::add);
    }
    return contacts;
  }

  private static Optional<KnownInstance> choose(String name, List<KnownInstance> instances) {
    return RendezvousHash.choose(name, instances, instance -> instance.id().value());
  }

  private Heartbeat ownHeartbeat(boolean wantsAnswer) {
    return new Heartbeat(
        self, revision, digest, documentAgeMillis(), ownDomainRevision(), epoch, wantsAnswer);
  }

  private long documentAgeMillis() {
    boolean ever = confirmedAtMillis != Long.MIN_VALUE;
    return ever ? nowMillis - confirmedAtMillis : Heartbeat.NEVER_CONFIRMED;
  }

  private List<MembershipAction> publishView(List<MembershipAction> actions) {
    MemberView next = buildView();
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

  private MemberView buildView() {
    return new MemberView(
        self,
        live(),
        possibleInDomain(),
        possibleDomains(),
        domainRevisions(),
        ownDomainRevision(),
        epoch,
        listed,
        nowMillis < staleUntilMillis);
  }

  private List<Member> live() {
    List<Member> live = new ArrayList<>();
    live.add(self);
    others.values().stream().filter(this::isLive).map(KnownInstance::member).forEach(live::add);
    live.sort(Comparator.comparing(Member::id));
    return live;
  }

  private boolean isLive(KnownInstance instance) {
    if (!started) {
      return false;
    }
    if (!instance.isIn(self.domain())) {
      return instance.isHeardSince(nowMillis - settings.domainTimeoutMillis());
    }
    return instance.isHeardSince(nowMillis - settings.timeoutMillis(domainPeers().size()));
  }

  private List<KnownInstance> possible() {
    return others.values().stream().filter(this::isPossible).toList();
  }

  private boolean isPossible(KnownInstance instance) {
    return instance.isPossible(lastListMillis, settings.quietMillis());
  }

  private List<KnownInstance> domainPeers() {
    return possible().stream().filter(instance -> instance.isIn(self.domain())).toList();
  }

  private Set<InstanceId> possibleInDomain() {
    Set<InstanceId> ids = new HashSet<>();
    ids.add(self.id());
    if (started) {
      domainPeers().forEach(instance -> ids.add(instance.id()));
    }
    return ids;
  }

  private Set<FailureDomainId> possibleDomains() {
    Set<FailureDomainId> domains = new HashSet<>();
    domains.add(self.domain());
    if (started) {
      possible().forEach(instance -> domains.add(instance.domain()));
    }
    return domains;
  }

  private Revision ownDomainRevision() {
    if (!started) {
      return revision;
    }
    return domainPeers().stream()
        .map(KnownInstance::revision)
        .reduce(revision, (one, other) -> one.isAfter(other) ? other : one);
  }

  private Map<FailureDomainId, Revision> domainRevisions() {
    Map<FailureDomainId, Revision> revisions = new HashMap<>();
    others.values().stream()
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
