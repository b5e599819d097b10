package org.knapweedcleat.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * Tracks the other instances of the fleet, known from the messages they send and from the members
 * that these messages mention.
 *
 * <p>In a small fleet, each instance sends messages to all others. In a large one, each sends them
 * to its own failure domain, and two representatives of each failure domain relay them to the
 * others: the first two live instances by name.
 *
 * <p>An instance not heard from for {@link #MAX_SILENT_INTERVALS} intervals is not live. It still
 * gets messages and stays known for {@link #EXPIRY_MILLIS}, since it may only be partitioned from
 * this instance.
 */
public final class FleetMembership {

  /** Consecutive messages that may be lost or late before an instance is considered not live. */
  public static final int MAX_SILENT_INTERVALS = 4;

  /** Longer than a machine is usually stopped or partitioned from the rest. */
  public static final long EXPIRY_MILLIS = 30_000;

  /** From this number of other instances on, messages are relayed by representatives. */
  private static final int SMALL_FLEET_SIZE = 16;

  /** Representatives per failure domain; two, so that one may stop or become unreachable. */
  private static final int REPRESENTATIVES = 2;

  /** Interval between messages of a representative to another failure domain. */
  private static final long CROSS_DOMAIN_INTERVAL_MILLIS = 1_000;

  /** Minimum interval between messages in a large fleet, which bounds the load of its instances. */
  private static final long LARGE_FLEET_MIN_INTERVAL_MILLIS = 400;

  /**
   * Members that a message mentions. They rotate, so that each is mentioned well before it expires.
   */
  private static final int GOSSIP_MEMBERS = 4;

  /** Minimum interval between messages per receiving instance, which bounds the sender's load. */
  private static final int INTERVAL_MILLIS_PER_MEMBER = 10;

  private final FleetMember local;
  private final int intervalMillis;
  private final Map<InstanceId, Entry> others = new TreeMap<>();

  private int nextGossipIndex;

  private static final class Entry {
    private FleetMember member;
    private long heardAtMillis;
    private long mentionedAtMillis;

    Entry(FleetMember member) {
      this.member = member;
      this.heardAtMillis = Long.MIN_VALUE / 2;
      this.mentionedAtMillis = Long.MIN_VALUE / 2;
    }
  }

  private FleetMembership(FleetMember local, int intervalMillis) {
    this.local = local;
    this.intervalMillis = intervalMillis;
  }

  /**
   * Returns a membership without other instances.
   *
   * @param local the local member
   * @param intervalMillis the interval between messages in a small fleet
   * @return the membership
   */
  public static FleetMembership of(FleetMember local, int intervalMillis) {
    return new FleetMembership(local, intervalMillis);
  }

  /**
   * Returns the interval between messages to each direct peer.
   *
   * @return milliseconds
   */
  public long intervalMillis() {
    long minMillis = isSmall() ? intervalMillis : LARGE_FLEET_MIN_INTERVAL_MILLIS;
    long directPeerCount = isSmall() ? others.size() : countInDomain(local.domain());
    return Math.max(minMillis, directPeerCount * INTERVAL_MILLIS_PER_MEMBER);
  }

  /**
   * Returns the interval between messages of representatives to other failure domains.
   *
   * @return milliseconds
   */
  public long crossDomainIntervalMillis() {
    return CROSS_DOMAIN_INTERVAL_MILLIS;
  }

  /**
   * Returns whether each instance sends messages to all others.
   *
   * @return true in a small fleet
   */
  public boolean isSmall() {
    return others.size() < SMALL_FLEET_SIZE;
  }

  /**
   * Returns the instances that get every message of this one.
   *
   * @return all known instances; in a large fleet only those of the local failure domain
   */
  public List<FleetMember> directPeers() {
    return isSmall() ? knownMembers() : knownInDomain(local.domain());
  }

  /**
   * Returns the instances that get messages about this one only from representatives.
   *
   * @return the known instances of other failure domains; none in a small fleet
   */
  public List<FleetMember> crossDomainPeers() {
    return isSmall()
        ? List.of()
        : knownMembers().stream()
            .filter(member -> !member.domain().equals(local.domain()))
            .toList();
  }

  /**
   * Returns whether this instance represents its failure domain.
   *
   * @param nowMillis the current time
   * @return true in a small fleet; otherwise true for the first two live instances of the domain
   */
  public boolean isRepresentative(long nowMillis) {
    return isSmall() || isRepresentative(nowMillis, local);
  }

  /**
   * Returns whether an instance represents its failure domain.
   *
   * @param nowMillis the current time
   * @param member the instance
   * @return true for the first two live instances of the domain
   */
  public boolean isRepresentative(long nowMillis, FleetMember member) {
    int preceding = precedesInDomain(local, member) ? 1 : 0;
    LivenessTimeouts timeouts = livenessTimeouts();
    for (Entry entry : others.values()) {
      if (preceding >= REPRESENTATIVES || id(entry.member).compareTo(id(member)) >= 0) {
        break;
      }
      if (precedesInDomain(entry.member, member) && timeouts.isLive(nowMillis, entry)) {
        preceding++;
      }
    }
    return preceding < REPRESENTATIVES && (!isRemote(member) || isLive(nowMillis, member));
  }

  private static boolean precedesInDomain(FleetMember first, FleetMember second) {
    return first.domain().equals(second.domain()) && id(first).compareTo(id(second)) < 0;
  }

  private boolean isLive(long nowMillis, FleetMember member) {
    Entry entry = others.get(id(member));
    return entry != null && livenessTimeouts().isLive(nowMillis, entry);
  }

  private int countInDomain(FailureDomainId domain) {
    int count = 0;
    for (Entry entry : others.values()) {
      count += entry.member.domain().equals(domain) ? 1 : 0;
    }
    return count;
  }

  /** The longest times since the last message of a live instance. */
  private record LivenessTimeouts(
      FailureDomainId localDomain, long directMillis, long crossDomainMillis) {
    boolean isLive(long nowMillis, Entry entry) {
      boolean sameDomain = entry.member.domain().equals(localDomain);
      return nowMillis - entry.heardAtMillis <= (sameDomain ? directMillis : crossDomainMillis);
    }
  }

  private LivenessTimeouts livenessTimeouts() {
    long directMillis = MAX_SILENT_INTERVALS * intervalMillis();
    long crossDomainMillis =
        isSmall() ? directMillis : directMillis + REPRESENTATIVES * CROSS_DOMAIN_INTERVAL_MILLIS;
    return new LivenessTimeouts(local.domain(), directMillis, crossDomainMillis);
  }

  private List<FleetMember> knownInDomain(FailureDomainId domain) {
    return knownMembers().stream().filter(member -> member.domain().equals(domain)).toList();
  }

  /**
   * Records a message of another instance.
   *
   * @param sentAtMillis the estimated time at which it was sent
   * @param member the original sender, even if the message was relayed
   * @param mentioned the members that the message mentions
   * @return the older incarnation that the sender replaces, or the sender's own if there is none
   */
  public IncarnationId recordMessage(
      long sentAtMillis, FleetMember member, Collection<FleetMember> mentioned) {
    IncarnationId previous = member.incarnation();
    if (isRemote(member)) {
      Entry entry = others.computeIfAbsent(id(member), id -> new Entry(member));
      if (member.incarnation().startNumber() >= entry.member.incarnation().startNumber()) {
        previous = entry.member.incarnation();
        entry.member = member;
        entry.heardAtMillis = Math.max(entry.heardAtMillis, sentAtMillis);
        entry.mentionedAtMillis = Math.max(entry.mentionedAtMillis, sentAtMillis);
      }
    }
    mentioned.stream().filter(this::isRemote).forEach(one -> recordMention(sentAtMillis, one));
    return previous;
  }

  /**
   * Removes instances that have not been heard from or mentioned for {@link #EXPIRY_MILLIS}.
   *
   * @param nowMillis the current time
   * @return the removed incarnations
   */
  public List<IncarnationId> removeExpired(long nowMillis) {
    List<IncarnationId> expired = new ArrayList<>();
    others
        .values()
        .removeIf(
            entry -> {
              boolean stale = nowMillis - entry.mentionedAtMillis > EXPIRY_MILLIS;
              if (stale) {
                expired.add(entry.member.incarnation());
              }
              return stale;
            });
    return expired;
  }

  /**
   * Removes an instance that announced its end.
   *
   * @param incarnation the incarnation that ends
   */
  public void remove(IncarnationId incarnation) {
    others.computeIfPresent(
        incarnation.instance(),
        (id, entry) -> entry.member.incarnation().equals(incarnation) ? null : entry);
  }

  /**
   * Returns whether an incarnation is the latest of its instance.
   *
   * @param incarnation the incarnation
   * @return false if it was replaced by another one or is unknown
   */
  public boolean isCurrent(IncarnationId incarnation) {
    Entry entry = others.get(incarnation.instance());
    return entry != null && entry.member.incarnation().equals(incarnation);
  }

  /**
   * Returns all instances that may be alive.
   *
   * @return the instances ordered by name
   */
  public List<FleetMember> knownMembers() {
    return others.values().stream().map(entry -> entry.member).toList();
  }

  /**
   * Returns the failure domain of an incarnation.
   *
   * @param incarnation the incarnation
   * @return its failure domain; empty if it is unknown or was replaced by another one
   */
  public Optional<FailureDomainId> domainOf(IncarnationId incarnation) {
    if (incarnation.equals(local.incarnation())) {
      return Optional.of(local.domain());
    }
    return Optional.ofNullable(others.get(incarnation.instance()))
        .map(entry -> entry.member)
        .filter(member -> member.incarnation().equals(incarnation))
        .map(FleetMember::domain);
  }

  /**
   * Returns the age of what is known of a failure domain: half of its known instances were heard
   * from more recently.
   *
   * @param nowMillis the current time
   * @param domain the failure domain
   * @return milliseconds; 0 for the local domain, empty if no instance of the domain is known
   */
  public OptionalLong reportAgeMillis(long nowMillis, FailureDomainId domain) {
    if (domain.equals(local.domain())) {
      return OptionalLong.of(0);
    }
    long[] agesMillis =
        others.values().stream()
            .filter(entry -> entry.member.domain().equals(domain))
            .mapToLong(entry -> nowMillis - entry.heardAtMillis)
            .sorted()
            .toArray();
    return agesMillis.length == 0
        ? OptionalLong.empty()
        : OptionalLong.of(agesMillis[(agesMillis.length - 1) / 2]);
  }

  /**
   * Returns the live instances.
   *
   * @param nowMillis the current time
   * @return the instances ordered by name, without the local one
   */
  public List<FleetMember> liveMembers(long nowMillis) {
    LivenessTimeouts timeouts = livenessTimeouts();
    return others.values().stream()
        .filter(entry -> timeouts.isLive(nowMillis, entry))
        .map(entry -> entry.member)
        .toList();
  }

  /**
   * Returns the live instances of a failure domain, for an instance that has just joined it.
   *
   * @param nowMillis the current time
   * @param domain the failure domain
   * @return the instances ordered by name, without the local one
   */
  public List<FleetMember> liveMembers(long nowMillis, FailureDomainId domain) {
    return liveMembers(nowMillis).stream()
        .filter(member -> member.domain().equals(domain))
        .toList();
  }

  /**
   * Returns the next live members to mention in a message, in rotation. A message that mentions a
   * whole large fleet would be too long.
   *
   * @param nowMillis the current time
   * @return up to {@link #GOSSIP_MEMBERS} instances
   */
  public List<FleetMember> nextGossipMembers(long nowMillis) {
    List<FleetMember> live = liveMembers(nowMillis);
    if (live.size() <= GOSSIP_MEMBERS) {
      return live;
    }
    int from = nextGossipIndex % live.size();
    nextGossipIndex = from + GOSSIP_MEMBERS;
    return IntStream.range(from, from + GOSSIP_MEMBERS)
        .mapToObj(index -> live.get(index % live.size()))
        .toList();
  }

  /**
   * Returns whether an address belongs to a known instance.
   *
   * @param address the address as {@code host:port}
   * @return true for the local address and those of known instances
   */
  public boolean isKnown(String address) {
    return address.equals(local.address())
        || others.values().stream().anyMatch(entry -> entry.member.address().equals(address));
  }

  /**
   * Returns whether an instance is known under its current address.
   *
   * @param member the instance
   * @return true for the local instance and for known instances whose address is unchanged
   */
  public boolean isKnown(FleetMember member) {
    Entry entry = others.get(id(member));
    boolean sameAddress =
        entry != null
            && entry.member.port() == member.port()
            && entry.member.host().equals(member.host());
    return sameAddress || !isRemote(member);
  }

  private void recordMention(long nowMillis, FleetMember member) {
    Entry entry = others.computeIfAbsent(id(member), id -> new Entry(member));
    if (member.incarnation().startNumber() > entry.member.incarnation().startNumber()) {
      entry.member = member;
    }
    entry.mentionedAtMillis = nowMillis;
  }

  private boolean isRemote(FleetMember member) {
    return !id(member).equals(id(local));
  }

  private static InstanceId id(FleetMember member) {
    return member.incarnation().instance();
  }
}
