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
 * <p>An instance that was not heard for {@link #LIVE_INTERVALS} intervals is not live; it is still
 * tried and counted as possible for {@link #MEMORY_MILLIS}, since it may be cut off.
 */
public final class FleetMembers {

  /** How many messages in a row may be lost or late before an instance is not live. */
  public static final int LIVE_INTERVALS = 4;

  /** Longer than a machine that is cut off or stopped usually stays away. */
  public static final long MEMORY_MILLIS = 30_000;

  /** Up to this size each instance sends to all, which needs no representatives. */
  private static final int SMALL_FLEET = 16;

  /** Two, so that a failure domain is heard of while one of them stops or is cut off. */
  private static final int REPRESENTATIVES = 2;

  /** The time between two messages of a representative to another failure domain. */
  private static final long ACROSS_MILLIS = 1_000;

  /**
   * The least time between messages in a large fleet, whose instances have little time for them.
   */
  private static final long LARGE_FLEET_MILLIS = 400;

  /** How many others a message names, in turn, so that all are named well within their memory. */
  private static final int NAMED_MEMBERS = 4;

  /** The time between messages grows by this much an instance, which bounds an instance's cost. */
  private static final int INTERVAL_MILLIS_PER_MEMBER = 10;

  private final FleetMember self;
  private final int intervalMillis;
  private final Map<InstanceId, Known> others = new TreeMap<>();

  private int namedFrom;

  private static final class Known {
    private FleetMember member;
    private long heardAtMillis;
    private long namedAtMillis;

    Known(FleetMember member) {
      this.member = member;
      this.heardAtMillis = Long.MIN_VALUE / 2;
      this.namedAtMillis = Long.MIN_VALUE / 2;
    }
  }

  private FleetMembers(FleetMember self, int intervalMillis) {
    this.self = self;
    this.intervalMillis = intervalMillis;
  }

  /**
   * Returns the members as an instance knows them that has heard of none.
   *
   * @param self the own run
   * @param intervalMillis the time between messages in a small fleet
   * @return the members
   */
  public static FleetMembers of(FleetMember self, int intervalMillis) {
    return new FleetMembers(self, intervalMillis);
  }

  /**
   * Returns the time between messages to each other instance.
   *
   * @return milliseconds
   */
  public long intervalMillis() {
    long leastMillis = isSmall() ? intervalMillis : LARGE_FLEET_MILLIS;
    long direct = isSmall() ? others.size() : countInDomain(self.domain());
    return Math.max(leastMillis, direct * INTERVAL_MILLIS_PER_MEMBER);
  }

  /**
   * Returns the time between messages to instances that get them only from representatives.
   *
   * @return milliseconds
   */
  public long acrossMillis() {
    return ACROSS_MILLIS;
  }

  /**
   * Tells whether each instance sends to all others.
   *
   * @return true in a small fleet
   */
  public boolean isSmall() {
    return others.size() < SMALL_FLEET;
  }

  /**
   * Lists the instances that get each message of this one.
   *
   * @return all that may live and, in a large fleet, stand in the own failure domain
   */
  public List<FleetMember> direct() {
    return isSmall() ? possible() : inDomain(self.domain());
  }

  /**
   * Lists the instances that hear of this one by representatives.
   *
   * @return those of other failure domains; none in a small fleet
   */
  public List<FleetMember> across() {
    return isSmall()
        ? List.of()
        : possible().stream().filter(member -> !member.domain().equals(self.domain())).toList();
  }

  /**
   * Tells whether this instance speaks for its failure domain.
   *
   * @param nowMillis the time
   * @return true for all of a small fleet, else for the first two that live
   */
  public boolean isRepresentative(long nowMillis) {
    return isSmall() || isRepresentative(nowMillis, self);
  }

  /**
   * Tells whether an instance speaks for its failure domain.
   *
   * @param nowMillis the time
   * @param member the instance
   * @return true for the first two that live
   */
  public boolean isRepresentative(long nowMillis, FleetMember member) {
    int before = isBefore(self, member) ? 1 : 0;
    Span liveSpan = liveSpan();
    for (Known known : others.values()) {
      if (before >= REPRESENTATIVES || id(known.member).compareTo(id(member)) >= 0) {
        break;
      }
      if (isBefore(known.member, member) && liveSpan.covers(nowMillis, known)) {
        before++;
      }
    }
    return before < REPRESENTATIVES && (!isOther(member) || isLive(nowMillis, member));
  }

  private static boolean isBefore(FleetMember one, FleetMember other) {
    return one.domain().equals(other.domain()) && id(one).compareTo(id(other)) < 0;
  }

  private boolean isLive(long nowMillis, FleetMember member) {
    Known known = others.get(id(member));
    return known != null && liveSpan().covers(nowMillis, known);
  }

  private int countInDomain(FailureDomainId domain) {
    int count = 0;
    for (Known known : others.values()) {
      count += known.member.domain().equals(domain) ? 1 : 0;
    }
    return count;
  }

  /** How long ago instances were heard at most that are live. */
  private record Span(FailureDomainId own, long directMillis, long acrossMillis) {
    boolean covers(long nowMillis, Known known) {
      boolean near = known.member.domain().equals(own);
      return nowMillis - known.heardAtMillis <= (near ? directMillis : acrossMillis);
    }
  }

  private Span liveSpan() {
    long directMillis = LIVE_INTERVALS * intervalMillis();
    long acrossMillis = isSmall() ? directMillis : directMillis + REPRESENTATIVES * ACROSS_MILLIS;
    return new Span(self.domain(), directMillis, acrossMillis);
  }

  private List<FleetMember> inDomain(FailureDomainId domain) {
    return possible().stream().filter(member -> member.domain().equals(domain)).toList();
  }

  /**
   * Notes a message of another instance.
   *
   * @param nowMillis the time at which it was sent, as far as known
   * @param member the sender, also if another instance passed its news on
   * @param named the instances that it heard lately
   * @return the sender's run that has ended with this news, if any, else the sender's own
   */
  public IncarnationId heard(long nowMillis, FleetMember member, Collection<FleetMember> named) {
    IncarnationId before = member.incarnation();
    if (isOther(member)) {
      Known known = others.computeIfAbsent(id(member), id -> new Known(member));
      if (member.incarnation().startNumber() >= known.member.incarnation().startNumber()) {
        before = known.member.incarnation();
        known.member = member;
        known.heardAtMillis = Math.max(known.heardAtMillis, nowMillis);
        known.namedAtMillis = Math.max(known.namedAtMillis, nowMillis);
      }
    }
    named.stream().filter(this::isOther).forEach(one -> named(nowMillis, one));
    return before;
  }

  /**
   * Forgets instances that were not heard for long.
   *
   * @param nowMillis the time
   * @return the runs that were forgotten
   */
  public List<IncarnationId> forget(long nowMillis) {
    List<IncarnationId> gone = new ArrayList<>();
    others
        .values()
        .removeIf(
            known -> {
              boolean old = nowMillis - known.namedAtMillis > MEMORY_MILLIS;
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
  public void left(IncarnationId incarnation) {
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
    Known known = others.get(incarnation.instance());
    return known != null && known.member.incarnation().equals(incarnation);
  }

  /**
   * Lists the instances to send to: all that may live.
   *
   * @return the instances in the order of their names
   */
  public List<FleetMember> possible() {
    return others.values().stream().map(known -> known.member).toList();
  }

  /**
   * Lists the instances that were heard lately.
   *
   * @param nowMillis the time
   * @return the instances in the order of their names, without the own one
   */
  public List<FleetMember> live(long nowMillis) {
    Span liveSpan = liveSpan();
    return others.values().stream()
        .filter(known -> liveSpan.covers(nowMillis, known))
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
  public List<FleetMember> live(long nowMillis, FailureDomainId domain) {
    return live(nowMillis).stream().filter(member -> member.domain().equals(domain)).toList();
  }

  /**
   * Lists the next few of the live instances, since a message that names a large fleet is too long.
   *
   * @param nowMillis the time
   * @return up to {@link #NAMED_MEMBERS} instances
   */
  public List<FleetMember> nextNamed(long nowMillis) {
    List<FleetMember> live = live(nowMillis);
    if (live.size() <= NAMED_MEMBERS) {
      return live;
    }
    int from = namedFrom % live.size();
    namedFrom = from + NAMED_MEMBERS;
    return IntStream.range(from, from + NAMED_MEMBERS)
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
    return address.equals(self.address())
        || others.values().stream().anyMatch(known -> known.member.address().equals(address));
  }

  /**
   * Tells whether an instance is known at the address that it now names.
   *
   * @param member the instance
   * @return true for the own instance and for known ones that have not moved
   */
  public boolean isKnown(FleetMember member) {
    Known known = others.get(id(member));
    boolean same =
        known != null
            && known.member.port() == member.port()
            && known.member.host().equals(member.host());
    return same || !isOther(member);
  }

  private void named(long nowMillis, FleetMember member) {
    Known known = others.computeIfAbsent(id(member), id -> new Known(member));
    if (member.incarnation().startNumber() > known.member.incarnation().startNumber()) {
      known.member = member;
    }
    known.namedAtMillis = nowMillis;
  }

  private boolean isOther(FleetMember member) {
    return !id(member).equals(id(self));
  }

  private static InstanceId id(FleetMember member) {
    return member.incarnation().instance();
  }
}
