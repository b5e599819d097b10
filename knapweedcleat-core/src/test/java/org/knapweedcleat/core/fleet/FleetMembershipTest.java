package org.knapweedcleat.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;

class FleetMembershipTest {

  private static final FleetMember ONE = member("one", 1);
  private static final FleetMember TWO = member("two", 1);

  private final FleetMembership members = FleetMembership.of(member("self", 1), 200);

  @Test
  void mentionedInstanceIsKnownButNotLive() {
    members.recordMessage(0, ONE, List.of(TWO));

    assertThat(members.knownMembers(), contains(ONE, TWO));
    assertThat(members.liveMembers(0), contains(ONE));
  }

  @Test
  void silentInstanceStaysKnownUntilExpiry() {
    members.recordMessage(0, ONE, List.of());

    assertThat(members.liveMembers(801), empty());
    assertThat(members.knownMembers(), contains(ONE));
    assertThat(members.removeExpired(FleetMembership.EXPIRY_MILLIS), empty());
    assertThat(
        members.removeExpired(FleetMembership.EXPIRY_MILLIS + 1), contains(ONE.incarnation()));
    assertThat(members.knownMembers(), empty());
  }

  @Test
  void newerIncarnationReplacesOlderOnly() {
    FleetMember restarted = member("one", 2);
    members.recordMessage(0, ONE, List.of());

    assertThat(members.recordMessage(10, restarted, List.of()), is(ONE.incarnation()));
    members.recordMessage(20, TWO, List.of(ONE));
    assertThat(members.knownMembers(), contains(restarted, TWO));
  }

  @Test
  void findsDomainsOfKnownIncarnationsOnly() {
    members.recordMessage(0, ONE, List.of());

    assertThat(members.domainOf(ONE.incarnation()), is(Optional.of(ONE.domain())));
    assertThat(members.domainOf(member("one", 2).incarnation()), is(Optional.empty()));
    assertThat(members.domainOf(TWO.incarnation()), is(Optional.empty()));
    FleetMember self = member("self", 1);
    assertThat(members.domainOf(self.incarnation()), is(Optional.of(self.domain())));
  }

  /** Guards against a domain that counts as known because a single instance is still heard. */
  @Test
  void reportsOnDomainAreAsOldAsThoseOfHalfItsInstances() {
    FailureDomainId elsewhere = FailureDomainId.of("elsewhere");
    for (int i = 0; i < 3; i++) {
      FleetMember one =
          new FleetMember(
              IncarnationId.of(InstanceId.of("e" + i), 1), elsewhere, "127.0.0.9", 9000 + i);
      members.recordMessage(i * 1_000, one, List.of());
    }

    assertThat(members.reportAgeMillis(2_000, elsewhere), is(OptionalLong.of(1_000)));
    assertThat(members.reportAgeMillis(2_000, ONE.domain()), is(OptionalLong.of(0)));
    assertThat(
        members.reportAgeMillis(2_000, FailureDomainId.of("unheard")), is(OptionalLong.empty()));
  }

  @Test
  void leavingInstanceIsRemoved() {
    members.recordMessage(0, ONE, List.of());
    members.remove(ONE.incarnation());

    assertThat(members.knownMembers(), empty());
  }

  @Test
  void localInstanceIsNotListedAsPeer() {
    members.recordMessage(0, ONE, List.of(member("self", 1)));

    assertThat(members.knownMembers(), contains(ONE));
  }

  @Test
  void intervalGrowsWithFleet() {
    for (int i = 0; i < 75; i++) {
      members.recordMessage(0, member("m" + i, 1), List.of());
    }

    assertThat(members.intervalMillis(), is(750L));
  }

  @Test
  void messagesInLargeFleetMentionAllMembersInTurn() {
    for (int i = 0; i < 75; i++) {
      members.recordMessage(0, member("m" + i, 1), List.of());
    }

    Set<FleetMember> mentioned = new HashSet<>();
    for (int message = 0; message < 19; message++) {
      List<FleetMember> next = members.nextGossipMembers(0);
      assertThat(next.size(), lessThanOrEqualTo(4));
      mentioned.addAll(next);
    }

    assertThat(mentioned.size(), is(75));
  }

  @Test
  void smallFleetHasNoRepresentatives() {
    members.recordMessage(0, member("one", 1, "b"), List.of());

    assertThat(members.isRepresentative(0), is(true));
    assertThat(members.directPeers(), contains(member("one", 1, "b")));
    assertThat(members.crossDomainPeers(), empty());
  }

  @Test
  void firstTwoLiveInstancesRepresentTheirDomain() {
    addLargeFleet();
    FleetMembership membersOfThird = members;

    assertThat(membersOfThird.isRepresentative(0), is(false));
    assertThat(membersOfThird.directPeers().size(), is(20));
    assertThat(membersOfThird.crossDomainPeers().size(), is(20));
    for (int i = 0; i < 19; i++) {
      membersOfThird.remove(member("m" + (10 + i), 1, "a").incarnation());
    }
    assertThat(membersOfThird.isRepresentative(0), is(true));
  }

  @Test
  void silentRepresentativeIsReplacedByNext() {
    addLargeFleet();
    long laterMillis = 10_000;
    FleetMember next = member("m12", 1, "a");
    members.recordMessage(laterMillis, next, List.of());
    members.recordMessage(laterMillis, member("m13", 1, "a"), List.of());

    assertThat(members.isRepresentative(laterMillis, next), is(true));
    assertThat(members.isRepresentative(laterMillis, member("m10", 1, "a")), is(false));
  }

  @Test
  void lateMessageOfOlderIncarnationIsIgnored() {
    FleetMember restarted = member("one", 2);
    members.recordMessage(0, restarted, List.of());

    assertThat(members.recordMessage(10, ONE, List.of()), is(ONE.incarnation()));
    assertThat(members.isCurrent(ONE.incarnation()), is(false));
    assertThat(members.isCurrent(restarted.incarnation()), is(true));
  }

  private void addLargeFleet() {
    for (int i = 10; i < 30; i++) {
      members.recordMessage(0, member("m" + i, 1, "a"), List.of());
      members.recordMessage(0, member("n" + i, 1, "b"), List.of());
    }
  }

  private static FleetMember member(String name, long start) {
    return member(name, start, "a");
  }

  private static FleetMember member(String name, long start, String domain) {
    IncarnationId incarnation = IncarnationId.of(InstanceId.of(name), start);
    return new FleetMember(incarnation, FailureDomainId.of(domain), "127.0.0.1", 9);
  }
}
