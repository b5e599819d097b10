package org.knapweedcleat.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

/**
 * The other instances, known from seeds, from what they send and from whom they name.
 *
 * <p>In a small fleet each instance sends to all. In a large one each sends to those of its own
 * failure domain, and two representatives of each failure domain tell the others what it does: the
 * first two that live, by name.
 *
 * <p>An instance that was not heard for {@link #MAX_SILENT_INTERVALS} intervals is not live; it is still
 * tried and counted as possible for {@link #EXPIRY_MILLIS}, since it may be cut off.
 */
public final class FleetMembership {

  /** How many messages in a row may be lost or late before an instance is not live. */
  public static final int MAX_SILENT_INTERVALS = 4;

  /** Longer than a machine that is cut off or stopped usually stays away. */
  public static final long EXPIRY_MILLIS = 30_000;

  /** Up to this size each instance sends to all, which needs no representatives. */
  private static final int SMALL_FLEET_SIZE = 16;

  /** Two, so that a failure domain is heard of while one of them stops or is cut off. */
  private static final int REPRESENTATIVES = 2;

  /** The time between two messages of a representative to another failure domain. */
  private static final long CROSS_DOMAIN_INTERVAL_MILLIS = 1_000;

  /**
   * The least time between messages in a large fleet, whose instances have little time for them.
   */
  private static final long LARGE_FLEET_MIN_INTERVAL_MILLIS = 400;

  /** How many others a message names, in turn, so that all are named well within their memory. */
  private static final int GOSSIP_MEMBERS = 4;

  /** The time between messages grows by this much an instance, which bounds an instance's cost. */
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

  private FleetMembership(FleetMember self, int intervalMillis) {
    this.local = self;
    this.intervalMillis = intervalMillis;
  }

  /**
   * Returns the members as an instance knows them that has heard of none.
   *
   * @param self the own run
   * @param intervalMillis the time between messages in a small fleet
   * @return the members
   */
  public static FleetMembership of(FleetMember self, int intervalMillis) {
    return new FleetMembership(self, intervalMillis);
  }

  /**
   * Returns the time between messages to each other instance.
   *
   * @return milliseconds
   */
  public long intervalMillis() {
    long leastMillis = isSmall() ? intervalMillis : LARGE_FLEET_MIN_INTERVAL_MILLIS;
    long direct = isSmall() ? others.size() : countInDomain(local.domain());
    return Math.max(leastMillis, direct * INTERVAL_MILLIS_PER_MEMBER);
  }

  /**
   * Returns the time between messages to instances that get them only from representatives.
   *
   * @return milliseconds
   */
  public long crossDomainIntervalMillis() {
    return CROSS_DOMAIN_INTERVAL_MILLIS;
  }

  /**
   * Tells whether each instance sends to all others.
   *
   * @return true in a small fleet
   */
  public boolean isSmall() {
    return others.size() < SMALL_FLEET_SIZE;
  }

  /**
   * Lists the instances that get each message of this one.
   *
   * @return all that may live and, in a large fleet, stand in the own failure domain
   */
  public List<FleetMember> directPeers() {
    return isSmall() ? knownMembers() : knownInDomain(local.domain());
  }

  /**
   * Lists the instances that hear of this one by representatives.
   *
   * @return those of other failure domains; none in a small fleet
   */
  public List<FleetMember> crossDomainPeers() {
    return isSmall()
        ? List.of()
        : knownMembers().stream().filter(member -> !member.domain().equals(local.domain())).toList();
  }

  /**
   * Tells whether this instance speaks for its failure domain.
   *
   * @param nowMillis the time
   * @return true for all of a small fleet, else for the first two that live
   */
  public boolean isRepresentative(long nowMillis) {
    return isSmall() || isRepresentative(nowMillis, local);
  }

  /**
   * Tells whether an instance speaks for its failure domain.
   *
   * @param nowMillis the time
   * @param member the instance
   * @return true for the first two that live
   */
  public boolean isRepresentative(long nowMillis, FleetMember member) {
    int before = precedesInDomain(local, member) ? 1 : 0;
    LivenessTimeouts liveSpan = livenessTimeouts();
    for (Entry known : others.values()) {
      if (before >= REPRESENTATIVES || id(known.member).compareTo(id(member)) >= 0) {
        break;
      }
      if (precedesInDomain(known.member, member) && liveSpan.isLive(nowMillis, known)) {
        before++;
      }
    }
    return before < REPRESENTATIVES && (!isRemote(member) || isLive(nowMillis, member));
  }

  private static boolean precedesInDomain(FleetMember one, FleetMember other) {
    return one.domain().equals(other.domain()) && id(one).compareTo(id(other)) < 0;
  }

  private boolean isLive(long nowMillis, FleetMember member) {
    Entry known = others.get(id(member));
    return known != null && livenessTimeouts().isLive(nowMillis, known);
  }

  private int countInDomain(FailureDomainId domain) {
    int count = 0;
    for (Entry known : others.values()) {
      count += known.member.domain().equals(domain) ? 1 : 0;
    }
    return count;
  }

  /** How long ago instances were heard at most that are live. */
  private record LivenessTimeouts(FailureDomainId localDomain, long directMillis, long crossDomainMillis) {
    boolean isLive(long nowMillis, Entry known) {
      boolean near = known.member.domain().equals(localDomain);
      return nowMillis - known.heardAtMillis <= (near ? directMillis : crossDomainMillis);
    }
  }

  private LivenessTimeouts livenessTimeouts() {
    long directMillis = MAX_SILENT_INTERVALS * intervalMillis();
    long acrossMillis = isSmall() ? directMillis : directMillis + REPRESENTATIVES * CROSS_DOMAIN_INTERVAL_MILLIS;
    return new LivenessTimeouts(local.domain(), directMillis, acrossMillis);
  }

  private List<FleetMember> knownInDomain(FailureDomainId domain) {
    return knownMembers().stream().filter(member -> member.domain().equals(domain)).toList();
  }

  /**
   * Notes a message of another instance.
   *
   * @param nowMillis the time at which it was sent, as far as known
   * @param member the sender, also if another instance passed its news on
   * @param named the instances that it heard lately
   * @return the sender's run that has ended with this news, if any, else the sender's own
   */
  public IncarnationId recordMessage(long nowMillis, FleetMember member, Collection<FleetMember> named) {
    IncarnationId before = member.incarnation();
    if (isRemote(member)) {
      Entry known = others.computeIfAbsent(id(member), id -> new Entry(member));
      if (member.incarnation().startNumber() >= known.member.incarnation().startNumber()) {
        before = known.member.incarnation();
        known.member = member;
        known.heardAtMillis = Math.max(known.heardAtMillis, nowMillis);
        known.mentionedAtMillis = Math.max(known.mentionedAtMillis, nowMillis);
      }
    }
    named.stream().filter(this::isRemote).forEach(one -> recordMention(nowMillis, one));
    return before;
  }

  /**
   * Forgets instances that were not heard for long.
   *
   * @param nowMillis the time
   * @return the runs that were forgotten
   */
  public List<IncarnationId> removeExpired(long nowMillis) {
    List<IncarnationId> gone = new ArrayList<>();
    others
        .values()
        .removeIf(
            known -> {
              boolean old = nowMillis - known.mentionedAtMillis > EXPIRY_MILLIS;
              if (old) {
                gone.add(known.member.incarnation());
              }
              return old;
            });
    return gone;
  }

  /**
   * Forgets an instance that says it ends.
   *
   * @param incarnation the run that ends
   */
  public void remove(IncarnationId incarnation) {
    others.computeIfPresent(
        incarnation.instance(),
        (id, known) -> known.member.incarnation().equals(incarnation) ? null : known);
  }

  /**
   * Tells whether a run is the latest one of its instance.
   *
   * @param incarnation the run
   * @return false for a run that was followed by another, or of which nothing is known
   */
  public boolean isCurrent(IncarnationId incarnation) {
    Entry known = others.get(incarnation.instance());
    return known != null && known.member.incarnation().equals(incarnation);
  }

  /**
   * Lists the instances to send to: all that may live.
   *
   * @return the instances in the order of their names
   */
  public List<FleetMember> knownMembers() {
    return others.values().stream().map(known -> known.member).toList();
  }

  /**
   * Lists the instances that were heard lately.
   *
   * @param nowMillis the time
   * @return the instances in the order of their names, without the own one
   */
  public List<FleetMember> liveMembers(long nowMillis) {
    LivenessTimeouts liveSpan = livenessTimeouts();
    return others.values().stream()
        .filter(known -> liveSpan.isLive(nowMillis, known))
        .map(known -> known.member)
        .toList();
  }

  /**
   * Lists the live instances of a failure domain, for one that has just come to it.
   *
   * @param nowMillis the time
   * @param domain the failure domain
   * @return the instances, the own one not included
   */
  public List<FleetMember> liveMembers(long nowMillis, FailureDomainId domain) {
    return liveMembers(nowMillis).stream().filter(member -> member.domain().equals(domain)).toList();
  }

  /**
   * Lists the next few of the live instances, since a message that names a large fleet is too long.
   *
   * @param nowMillis the time
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
   * Tells whether an address belongs to a known instance.
   *
   * @param address IP number and port
   * @return true for the own address and those of known instances
   */
  public boolean isKnown(String address) {
    return address.equals(local.address())
        || others.values().stream().anyMatch(known -> known.member.address().equals(address));
  }

  /**
   * Tells whether an instance is known at the address that it now names.
   *
   * @param member the instance
   * @return true for the own instance and for known ones that have not moved
   */
  public boolean isKnown(FleetMember member) {
    Entry known = others.get(id(member));
    boolean same =
        known != null
            && known.member.port() == member.port()
            && known.member.host().equals(member.host());
    return same || !isRemote(member);
  }

  private void recordMention(long nowMillis, FleetMember member) {
    Entry known = others.computeIfAbsent(id(member), id -> new Entry(member));
    if (member.incarnation().startNumber() > known.member.incarnation().startNumber()) {
      known.member = member;
    }
    known.mentionedAtMillis = nowMillis;
  }

  private boolean isRemote(FleetMember member) {
    return !id(member).equals(id(local));
  }

  private static InstanceId id(FleetMember member) {
    return member.incarnation().instance();
  }
}
