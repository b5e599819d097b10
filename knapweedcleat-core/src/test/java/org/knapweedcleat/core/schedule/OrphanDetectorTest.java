package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.schedule.ScheduleAction.CancelOrphan;

class OrphanDetectorTest {

  private static final long GRACE = 1_000;
  private static final EndpointId ENDPOINT = TestFleet.decode(1);
  private static final IncarnationId OWNER = TestFleet.incarnation(1);
  private static final RequestId REQUEST = RequestId.of("request");
  private static final CancelOrphan CANCEL = new CancelOrphan(ENDPOINT, REQUEST);

  private final OrphanDetector sweep = OrphanDetector.of(GRACE);

  @Test
  void cancelsUnclaimedRequestAfterGraceAndAgainUntilItIsGone() {
    assertThat(sweepAt(0), empty());
    assertThat(sweepAt(GRACE - 1), empty());
    assertThat(sweepAt(GRACE), contains(CANCEL));
    assertThat(sweepAt(GRACE + 1), empty());
    assertThat(sweepAt(2 * GRACE), contains(CANCEL));
  }

  @Test
  void leavesClaimedRequestAlone() {
    sweep.updateClaims(0, OWNER, List.of(REQUEST));
    assertThat(sweepAt(0), empty());
    assertThat(sweepAt(10 * GRACE), empty());
  }

  @Test
  void startsGraceAnewAfterClaim() {
    assertThat(sweepAt(0), empty());
    sweep.updateClaims(0, OWNER, List.of(REQUEST));
    assertThat(sweepAt(GRACE), empty());
    sweep.updateClaims(0, OWNER, List.of());
    assertThat(sweepAt(GRACE + 1), empty());
    assertThat(sweepAt(2 * GRACE + 1), contains(CANCEL));
  }

  @Test
  void cancelsAtOnceWhatOnlyEndedIncarnationClaimed() {
    RequestId request = RequestId.of(OWNER, 1);
    sweep.updateClaims(0, OWNER, List.of(request));
    sweep.incarnationEnded(1, OWNER);
    assertThat(sweepAt(2, request), contains(new CancelOrphan(ENDPOINT, request)));
  }

  @Test
  void keepsWhatAnotherIncarnationTookOver() {
    sweep.updateClaims(0, OWNER, List.of(REQUEST));
    sweep.updateClaims(0, TestFleet.incarnation(2), List.of(REQUEST));
    sweep.incarnationEnded(1, OWNER);
    assertThat(sweepAt(10 * GRACE), empty());
  }

  @Test
  void leavesRequestAloneThatTheSchedulerPlacedAtAnotherEndpoint() {
    assertThat(sweep.findOrphans(0, ENDPOINT, List.of(REQUEST), request -> true), empty());
    assertThat(sweep.findOrphans(10 * GRACE, ENDPOINT, List.of(REQUEST), request -> true), empty());
  }

  @Test
  void judgesNothingWhileLivingIncarnationIsSilent() {
    sweep.updateMembers(Set.of(OWNER));
    assertThat(sweepAt(0), empty());
    assertThat(sweepAt(10 * GRACE), empty());
    sweep.updateClaims(10 * GRACE, OWNER, List.of());
    assertThat(sweepAt(10 * GRACE + 1), contains(CANCEL));
  }

  @Test
  void judgesNothingUntilLivingIncarnationHasClaimedAnew() {
    sweep.updateClaims(-GRACE, OWNER, List.of());
    sweep.updateMembers(Set.of(OWNER));
    assertThat(sweepAt(0), empty());
    assertThat(sweepAt(10 * GRACE), empty());
    sweep.updateClaims(10 * GRACE, OWNER, List.of());
    assertThat(sweepAt(10 * GRACE + 1), contains(CANCEL));
  }

  @Test
  void leavesAloneWhatSilentOwnerMayStillServe() {
    RequestId cutOff = RequestId.of(OWNER, 1);
    assertThat(sweepAt(0, cutOff), empty());
    assertThat(sweepAt(2 * GRACE, cutOff), empty());
    sweep.updateClaims(2 * GRACE, OWNER, List.of());
    assertThat(sweepAt(3 * GRACE, cutOff), contains(new CancelOrphan(ENDPOINT, cutOff)));
  }

  @Test
  void cancelsWhatSilentOwnerHasHeldForTooLong() {
    RequestId cutOff = RequestId.of(OWNER, 1);
    sweep.updateClaims(0, OWNER, List.of(cutOff));
    assertThat(sweepAt(OrphanDetector.SILENT_OWNER_MILLIS - 1, cutOff), empty());
    assertThat(sweepAt(OrphanDetector.SILENT_OWNER_MILLIS, cutOff), empty());
    long later = 2 * OrphanDetector.SILENT_OWNER_MILLIS;
    assertThat(sweepAt(later, cutOff), contains(new CancelOrphan(ENDPOINT, cutOff)));
  }

  @Test
  void cancelsAtOnceWhatEndedOwnerNeverClaimed() {
    RequestId request = RequestId.of(OWNER, 1);
    sweep.incarnationEnded(1, OWNER);
    assertThat(sweepAt(2, request), contains(new CancelOrphan(ENDPOINT, request)));
  }

  @Test
  void cancelsAtOnceWhatAnEarlierRunOfLivingInstanceHeld() {
    RequestId request = RequestId.of(OWNER, 1);
    sweep.updateMembers(Set.of(IncarnationId.of(OWNER.instance(), OWNER.startNumber() + 1)));
    assertThat(sweepAt(2, request), contains(new CancelOrphan(ENDPOINT, request)));
  }

  private List<ScheduleAction> sweepAt(long now, RequestId request) {
    return sweep.findOrphans(now, ENDPOINT, List.of(request), id -> false);
  }

  private List<ScheduleAction> sweepAt(long now) {
    return sweep.findOrphans(now, ENDPOINT, List.of(REQUEST), request -> false);
  }
}
