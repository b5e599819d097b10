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
    MembershipTracker tracker = startedTracker();
    tracker.onHeartbeat(100, heartbeat("b", 1, false));
    tracker.onInstanceList(200, List.of(listed("a")));
    assertThat(liveIds(tracker), containsInAnyOrder("a", "b"));
  }

  @Test
  void countsListedInstanceAsPossibleButNotLive() {
    MembershipTracker tracker = startedTracker();
    tracker.onInstanceList(100, List.of(listed("a"), listed("b")));
    assertThat(liveIds(tracker), containsInAnyOrder("a"));
    assertThat(tracker.view().possibleInstanceCount(), is(2));
  }

  @Test
  void keepsInstancePossibleUntilLaterListOmitsIt() {
    MembershipTracker tracker = startedTracker();
    tracker.onHeartbeat(100, heartbeat("b", 1, false));
    tickUntil(tracker, 100, 60_000);
    assertThat(tracker.view().possibleInstanceCount(), is(2));
    tracker.onInstanceList(60_000, List.of(listed("a")));
    assertThat(tracker.view().possibleInstanceCount(), is(1));
  }

  @Test
  void givesNoDutiesToLeavingInstance() {
    MembershipTracker tracker = startedTracker();
    tracker.onHeartbeat(100, heartbeat("b", 1, true));
    for (int i = 0; i < 50; i++) {
      String home = tracker.view().homeOfKey("name-" + i).orElseThrow().id().value();
      assertThat(home, is("a"));
    }
  }

  @Test
  void marksViewStaleAfterPause() {
    MembershipTracker tracker = startedTracker();
    tracker.onHeartbeat(100, heartbeat("b", 1, false));
    tracker.tick(20_000);
    assertThat(tracker.view().stale(), is(true));
    assertThat(liveIds(tracker), containsInAnyOrder("a"));
    tickUntil(tracker, 20_000, 24_000);
    assertThat(tracker.view().stale(), is(false));
  }

  @Test
  void isListedOnlyAfterRemovalDelayAndAtItsOwnAddress() {
    MembershipTracker tracker = startedTracker();
    tracker.onInstanceList(1_000, List.of(listed("a")));
    assertThat(tracker.view().selfListed(), is(false));
    tickUntil(tracker, 1_000, 16_000);
    tracker.onInstanceList(16_000, List.of(listed("a")));
    assertThat(tracker.view().selfListed(), is(true));
    tracker.onInstanceList(
        16_100, List.of(new ListedInstance(InstanceId.of("a"), NORTH, "127.0.0.9", 1, false)));
    assertThat(tracker.view().selfListed(), is(false));
  }

  @Property(seed = "7", tries = 50, shrinking = ShrinkingMode.OFF)
  void ignoresLateHeartbeatsOfReplacedRuns(@ForAll long seed) {
    Random random = new Random(seed);
    MembershipTracker tracker = startedTracker();
    Map<InstanceId, Long> highestStartNumbers = new HashMap<>();
    List<Heartbeat> sentHeartbeats = new ArrayList<>();
    long nowMillis = 0;
    for (int step = 0; step < 300; step++) {
      nowMillis += random.nextInt(1_500) - 100;
      if (sentHeartbeats.isEmpty() || random.nextBoolean()) {
        sentHeartbeats.add(heartbeat("b" + random.nextInt(3), 1 + step / 40, false));
      }
      Heartbeat delivered = sentHeartbeats.get(random.nextInt(sentHeartbeats.size()));
      highestStartNumbers.merge(
          delivered.sender().id(), delivered.sender().incarnation().startNumber(), Math::max);
      tracker.onHeartbeat(nowMillis, delivered);
      tracker.onInstanceList(nowMillis, List.of(listed("a"), listed("b" + random.nextInt(3))));
      for (Member member : tracker.view().live()) {
        long number = member.incarnation().startNumber();
        assertThat(number, is(highestStartNumbers.getOrDefault(member.id(), number)));
      }
    }
  }

  private static MembershipTracker startedTracker() {
    MembershipTracker tracker = MembershipTracker.of(member("a", 1, false), SETTINGS);
    tracker.tick(0);
    return tracker;
  }

  private static void tickUntil(MembershipTracker tracker, long fromMillis, long untilMillis) {
    for (long millis = fromMillis; millis <= untilMillis; millis += 250) {
      tracker.tick(millis);
    }
  }

  @Test
  void heartbeatsCarryTimeSinceDocumentConfirmation() {
    MembershipTracker tracker =
        MembershipTracker.of(member("a", 1, false), MembershipSettings.DEFAULT);
    tracker.onHeartbeat(0, heartbeat("b", 1, false));
    assertThat(heartbeatAt(tracker, 1_000).documentAgeMillis(), is(Heartbeat.NEVER_CONFIRMED));
    tracker.onDocumentConfirmed(1_100, 300);
    tracker.onDocumentConfirmed(1_100, 5_000);
    assertThat(heartbeatAt(tracker, 2_100).documentAgeMillis(), is(1_300L));
  }

  private static Heartbeat heartbeatAt(MembershipTracker tracker, long millis) {
    return tracker.tick(millis).stream()
        .filter(MembershipAction.Send.class::isInstance)
        .map(action -> ((MembershipAction.Send) action).heartbeat())
        .findFirst()
        .orElseThrow();
  }

  private static List<String> liveIds(MembershipTracker tracker) {
    return tracker.view().live().stream().map(member -> member.id().value()).toList();
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
