package org.knapweedcleat.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

class MembershipTrackerTest {

  private static final FailureDomainId NORTH = FailureDomainId.of("north");
  private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;

  @Test
  void keepsHeardInstanceLiveWithoutList() {
    MembershipTracker membership = started();
    membership.onHeartbeat(100, heartbeat("b", 1, false));
    membership.onInstanceList(200, List.of(listed("a")));
    assertThat(liveIds(membership), containsInAnyOrder("a", "b"));
  }

  @Test
  void countsListedInstanceAsPossibleButNotLive() {
    MembershipTracker membership = started();
    membership.onInstanceList(100, List.of(listed("a"), listed("b")));
    assertThat(liveIds(membership), containsInAnyOrder("a"));
    assertThat(membership.view().possibleInstanceCount(), is(2));
  }

  @Test
  void keepsInstancePossibleUntilLaterListOmitsIt() {
    MembershipTracker membership = started();
    membership.onHeartbeat(100, heartbeat("b", 1, false));
    tickUntil(membership, 100, 60_000);
    assertThat(membership.view().possibleInstanceCount(), is(2));
    membership.onInstanceList(60_000, List.of(listed("a")));
    assertThat(membership.view().possibleInstanceCount(), is(1));
  }

  @Test
  void givesNoDutiesToLeavingInstance() {
    MembershipTracker membership = started();
    membership.onHeartbeat(100, heartbeat("b", 1, true));
    for (int i = 0; i < 50; i++) {
      String home = membership.view().homeOfKey("name-" + i).orElseThrow().id().value();
      assertThat(home, is("a"));
    }
  }

  @Test
  void marksViewStaleAfterLongGap() {
    MembershipTracker membership = started();
    membership.onHeartbeat(100, heartbeat("b", 1, false));
    membership.tick(20_000);
    assertThat(membership.view().stale(), is(true));
    assertThat(liveIds(membership), containsInAnyOrder("a"));
    tickUntil(membership, 20_000, 24_000);
    assertThat(membership.view().stale(), is(false));
  }

  @Test
  void isListedOnlyAfterTheQuietTimeAndAtItsOwnAddress() {
    MembershipTracker membership = started();
    membership.onInstanceList(1_000, List.of(listed("a")));
    assertThat(membership.view().selfListed(), is(false));
    tickUntil(membership, 1_000, 16_000);
    membership.onInstanceList(16_000, List.of(listed("a")));
    assertThat(membership.view().selfListed(), is(true));
    membership.onInstanceList(
        16_100, List.of(new ListedInstance(InstanceId.of("a"), NORTH, "127.0.0.9", 1, false)));
    assertThat(membership.view().selfListed(), is(false));
  }

  @Property(seed = "7", tries = 50, shrinking = ShrinkingMode.OFF)
  void neverRevivesAnEndedRun(@ForAll long seed) {
    Random random = new Random(seed);
    MembershipTracker membership = started();
    Map<InstanceId, Long> newest = new HashMap<>();
    List<Heartbeat> sent = new ArrayList<>();
    long nowMillis = 0;
    for (int step = 0; step < 300; step++) {
      nowMillis += random.nextInt(1_500) - 100;
      if (sent.isEmpty() || random.nextBoolean()) {
        sent.add(heartbeat("b" + random.nextInt(3), 1 + step / 40, false));
      }
      Heartbeat late = sent.get(random.nextInt(sent.size()));
      newest.merge(late.sender().id(), late.sender().incarnation().startNumber(), Math::max);
      membership.onHeartbeat(nowMillis, late);
      membership.onInstanceList(nowMillis, List.of(listed("a"), listed("b" + random.nextInt(3))));
      for (Member member : membership.view().live()) {
        long number = member.incarnation().startNumber();
        assertThat(number, is(newest.getOrDefault(member.id(), number)));
      }
    }
  }

  private static MembershipTracker started() {
    MembershipTracker membership = MembershipTracker.of(member("a", 1, false), SETTINGS);
    membership.tick(0);
    return membership;
  }

  private static void tickUntil(MembershipTracker membership, long fromMillis, long untilMillis) {
    for (long millis = fromMillis; millis <= untilMillis; millis += 250) {
      membership.tick(millis);
    }
  }

  @Test
  void heartbeatsTellHowLongAgoThePlatformVouchedForTheDocument() {
    MembershipTracker membership = MembershipTracker.of(member("a", 1, false), MembershipSettings.DEFAULT);
    membership.onHeartbeat(0, heartbeat("b", 1, false));
    assertThat(sentAt(membership, 1_000).documentAgeMillis(), is(Heartbeat.NEVER_CONFIRMED));
    membership.onDocumentConfirmed(1_100, 300);
    membership.onDocumentConfirmed(1_100, 5_000);
    assertThat(sentAt(membership, 2_100).documentAgeMillis(), is(1_300L));
  }

  private static Heartbeat sentAt(MembershipTracker membership, long millis) {
    return membership.tick(millis).stream()
        .filter(MembershipAction.Send.class::isInstance)
        .map(action -> ((MembershipAction.Send) action).heartbeat())
        .findFirst()
        .orElseThrow();
  }

  private static List<String> liveIds(MembershipTracker membership) {
    return membership.view().live().stream().map(member -> member.id().value()).toList();
  }

  private static ListedInstance listed(String id) {
    return new ListedInstance(InstanceId.of(id), NORTH, "127.0.0.1", 1, false);
  }

  private static Heartbeat heartbeat(String id, long startNumber, boolean leaving) {
    return new Heartbeat(
        member(id, startNumber, leaving), Revision.NONE, "", 0, Revision.NONE, 0, false);
  }

  private static Member member(String id, long startNumber, boolean leaving) {
    IncarnationId incarnation = IncarnationId.of(InstanceId.of(id), startNumber);
    return new Member(incarnation, NORTH, "127.0.0.1", 1, leaving);
  }
}
