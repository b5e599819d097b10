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

  private static final long GRACE_MILLIS = 1_000;
  private static final EndpointId ENDPOINT = TestFleet.decode(1);
  private static final IncarnationId OWNER = TestFleet.incarnation(1);
  private static final RequestId REQUEST = RequestId.of("request");
  private static final CancelOrphan CANCEL = new CancelOrphan(ENDPOINT, REQUEST);

  private final OrphanDetector detector = OrphanDetector.of(GRACE_MILLIS);

  @Test
  void repeatsCancellationAfterEachGracePeriod() {
    assertThat(findOrphansAt(0), empty());
    assertThat(findOrphansAt(GRACE_MILLIS - 1), empty());
    assertThat(findOrphansAt(GRACE_MILLIS), contains(CANCEL));
    assertThat(findOrphansAt(GRACE_MILLIS + 1), empty());
    assertThat(findOrphansAt(2 * GRACE_MILLIS), contains(CANCEL));
  }

  @Test
  void keepsClaimedRequest() {
    detector.updateClaims(0, OWNER, List.of(REQUEST));
    assertThat(findOrphansAt(0), empty());
    assertThat(findOrphansAt(10 * GRACE_MILLIS), empty());
  }

  @Test
  void restartsGracePeriodAfterClaim() {
    assertThat(findOrphansAt(0), empty());
    detector.updateClaims(0, OWNER, List.of(REQUEST));
    assertThat(findOrphansAt(GRACE_MILLIS), empty());
    detector.updateClaims(0, OWNER, List.of());
    assertThat(findOrphansAt(GRACE_MILLIS + 1), empty());
    assertThat(findOrphansAt(2 * GRACE_MILLIS + 1), contains(CANCEL));
  }

  @Test
  void cancelsRequestClaimedOnlyByEndedIncarnationImmediately() {
    RequestId request = RequestId.of(OWNER, 1);
    detector.updateClaims(0, OWNER, List.of(request));
    detector.incarnationEnded(1, OWNER);
    assertThat(findOrphansAt(2, request), contains(new CancelOrphan(ENDPOINT, request)));
  }

  @Test
  void keepsRequestClaimedByAnotherIncarnation() {
    detector.updateClaims(0, OWNER, List.of(REQUEST));
    detector.updateClaims(0, TestFleet.incarnation(2), List.of(REQUEST));
    detector.incarnationEnded(1, OWNER);
    assertThat(findOrphansAt(10 * GRACE_MILLIS), empty());
  }

  @Test
  void keepsRequestPlacedAtAnotherEndpoint() {
    assertThat(detector.findOrphans(0, ENDPOINT, List.of(REQUEST), request -> true), empty());
    assertThat(
        detector.findOrphans(10 * GRACE_MILLIS, ENDPOINT, List.of(REQUEST), request -> true),
        empty());
  }

  @Test
  void keepsUnownedRequestWhileLiveIncarnationIsSilent() {
    detector.updateMembers(Set.of(OWNER));
    assertThat(findOrphansAt(0), empty());
    assertThat(findOrphansAt(10 * GRACE_MILLIS), empty());
    detector.updateClaims(10 * GRACE_MILLIS, OWNER, List.of());
    assertThat(findOrphansAt(10 * GRACE_MILLIS + 1), contains(CANCEL));
  }

  @Test
  void keepsUnownedRequestUntilLiveIncarnationSendsNewClaims() {
    detector.updateClaims(-GRACE_MILLIS, OWNER, List.of());
    detector.updateMembers(Set.of(OWNER));
    assertThat(findOrphansAt(0), empty());
    assertThat(findOrphansAt(10 * GRACE_MILLIS), empty());
    detector.updateClaims(10 * GRACE_MILLIS, OWNER, List.of());
    assertThat(findOrphansAt(10 * GRACE_MILLIS + 1), contains(CANCEL));
  }

  @Test
  void keepsRequestOfSilentOwner() {
    RequestId cutOff = RequestId.of(OWNER, 1);
    assertThat(findOrphansAt(0, cutOff), empty());
    assertThat(findOrphansAt(2 * GRACE_MILLIS, cutOff), empty());
    detector.updateClaims(2 * GRACE_MILLIS, OWNER, List.of());
    assertThat(
        findOrphansAt(3 * GRACE_MILLIS, cutOff), contains(new CancelOrphan(ENDPOINT, cutOff)));
  }

  @Test
  void cancelsRequestOfSilentOwnerAfterTimeout() {
    RequestId cutOff = RequestId.of(OWNER, 1);
    detector.updateClaims(0, OWNER, List.of(cutOff));
    assertThat(findOrphansAt(OrphanDetector.SILENT_OWNER_MILLIS - 1, cutOff), empty());
    assertThat(findOrphansAt(OrphanDetector.SILENT_OWNER_MILLIS, cutOff), empty());
    long later = 2 * OrphanDetector.SILENT_OWNER_MILLIS;
    assertThat(findOrphansAt(later, cutOff), contains(new CancelOrphan(ENDPOINT, cutOff)));
  }

  @Test
  void cancelsUnclaimedRequestOfEndedOwnerImmediately() {
    RequestId request = RequestId.of(OWNER, 1);
    detector.incarnationEnded(1, OWNER);
    assertThat(findOrphansAt(2, request), contains(new CancelOrphan(ENDPOINT, request)));
  }

  @Test
  void cancelsRequestOfEarlierIncarnationImmediately() {
    RequestId request = RequestId.of(OWNER, 1);
    detector.updateMembers(Set.of(IncarnationId.of(OWNER.instance(), OWNER.startNumber() + 1)));
    assertThat(findOrphansAt(2, request), contains(new CancelOrphan(ENDPOINT, request)));
  }

  private List<ScheduleAction> findOrphansAt(long now, RequestId request) {
    return detector.findOrphans(now, ENDPOINT, List.of(request), id -> false);
  }

  private List<ScheduleAction> findOrphansAt(long now) {
    return detector.findOrphans(now, ENDPOINT, List.of(REQUEST), request -> false);
  }
}
