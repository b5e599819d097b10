package org.knapweedcleat.core.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.intake.CallerMemoryBudget.Eviction;
import org.knapweedcleat.core.intake.CallerMemoryBudget.Victim;

class CallerMemoryBudgetTest {

  private static final long MEGABYTE = 1_048_576;
  private static final long CAPACITY = 40 * MEGABYTE;
  private static final long LARGE_BODY = 4 * MEGABYTE;
  private static final long SMALL_REQUEST = 2_048;

  private final CallerMemoryBudget budget = CallerMemoryBudget.of(CAPACITY);

  /** Load: one upload of the maximum length, and nothing else. */
  @Test
  void singleLargestRequestIsServedByAnyBudget() {
    CallerMemoryBudget smallBudget = CallerMemoryBudget.of(MEGABYTE);
    HeldMemory held = smallBudget.open("caller", 0);

    assertThat(smallBudget.admitsBody(held, LARGE_BODY), is(true));
    smallBudget.update(held, true, LARGE_BODY, 0, 0);
    assertThat(smallBudget.mayRead(held, 0), is(true));
    smallBudget.update(held, false, 0, LARGE_BODY, 0);
    assertThat(smallBudget.admitsCall(held), is(true));
    assertThat(smallBudget.nextVictim(0), is(Optional.empty()));
  }

  /** Load: a burst of uploads at more than the rate that fits into memory. */
  @Test
  void burstOfLargeBodiesIsRefusedBeforeTheyArrive() {
    long admitted =
        IntStream.range(0, 100)
            .filter(i -> budget.admitsBody(openPartial(SMALL_REQUEST, 0), LARGE_BODY))
            .count();

    assertThat(admitted * LARGE_BODY, lessThanOrEqualTo(2 * CAPACITY));
  }

  /** Load: endpoints that stop before the end of their responses; ordinary calls continue. */
  @Test
  void unfinishedResponsesLeaveRoomForOrdinaryCalls() {
    long responseBytes = MEGABYTE / 2;
    for (int i = 0; i < 200; i++) {
      HeldMemory held = budget.open("caller", 0);
      budget.update(held, false, 0, responseBytes, 0);
      if (!budget.mayHoldResponse(held, responseBytes)) {
        budget.update(held, false, 0, 0, 0);
      }
    }

    assertThat(budget.admitsCall(openPartial(SMALL_REQUEST, 0)), is(true));
    assertThat(budget.totalBytes(), lessThanOrEqualTo(CAPACITY));
  }

  /**
   * Load: partial requests hold the part for large ones. Guards against short responses that are
   * passed on in chunks although they are complete at once.
   */
  @Test
  void shortResponsesAreHeldWhileLargeRequestsFillTheirPart() {
    openPartial(36 * MEGABYTE, 0);
    HeldMemory held = budget.open("caller", 0);
    budget.update(held, false, 0, SMALL_REQUEST, 0);

    assertThat(budget.mayHoldResponse(held, SMALL_REQUEST), is(true));
    assertThat(budget.mayHoldResponse(held, MEGABYTE / 2), is(false));
  }

  /** Load: large uploads fill the budget; small requests continue. */
  @Test
  void smallRequestsContinueWhileLargeOnesAreStopped() {
    HeldMemory large = openPartial(0, 0);
    budget.admitsBody(large, LARGE_BODY);
    openPartial(36 * MEGABYTE, 0);
    HeldMemory small = openPartial(SMALL_REQUEST, 0);

    assertThat(budget.mayRead(large, 0), is(false));
    assertThat(budget.admitsBody(openPartial(0, 0), LARGE_BODY), is(false));
    assertThat(budget.admitsBody(small, SMALL_REQUEST), is(true));
    assertThat(budget.mayRead(small, 0), is(true));
    assertThat(budget.admitsCall(small), is(true));
  }

  /** Load: bodies that stop one byte short, beside an upload that goes on. */
  @Test
  void stalledRequestThatHoldsMostIsEndedFirst() {
    openPartial(10 * MEGABYTE, 0);
    HeldMemory largestStalled = openPartial(12 * MEGABYTE, 0);
    HeldMemory active = openPartial(20 * MEGABYTE, 0);
    budget.recordProgress(active, 1_500);

    assertThat(
        budget.nextVictim(1_500), is(Optional.of(new Victim(largestStalled, Eviction.REFUSE))));
    budget.update(largestStalled, false, 0, 0, 0);
    assertThat(budget.nextVictim(1_500), is(Optional.empty()));
  }

  /** Load: readers that do not read their responses. */
  @Test
  void connectionWithUnreadResponseIsClosed() {
    HeldMemory reader = budget.open("caller", 0);
    budget.update(reader, false, 0, 0, 30 * MEGABYTE);
    openPartial(12 * MEGABYTE, 0);

    assertThat(budget.admitsNextCall(reader), is(false));
    assertThat(budget.nextVictim(2_000), is(Optional.of(new Victim(reader, Eviction.CLOSE))));
  }

  /** Load: requests that wait for engines hold the whole budget; they may have run. */
  @Test
  void requestsInProgressAreNeverEndedAndNewOnesAreRefused() {
    budget.update(budget.open("caller", 0), false, 0, 45 * MEGABYTE, 0);
    HeldMemory next = budget.open("caller", 0);
    budget.update(next, false, 0, SMALL_REQUEST, 0);

    assertThat(budget.nextVictim(60_000), is(Optional.empty()));
    assertThat(budget.admitsCall(next), is(false));
  }

  /** Load: uploads that are all stopped, since none of them completes. */
  @Test
  void uploadsThatWaitForEachOtherAreRefusedOneByOne() {
    List<HeldMemory> uploads =
        IntStream.range(0, 12).mapToObj(i -> openPartial(3 * MEGABYTE, 0)).toList();
    uploads.forEach(upload -> assertThat(budget.mayRead(upload, 100), is(false)));

    assertThat(budget.nextVictim(1_000), is(Optional.empty()));
    Victim victim = budget.nextVictim(1_200).orElseThrow();
    budget.update(victim.held(), false, 0, 0, 0);
    assertThat(budget.resumable(1_200).size() > 0, is(true));
  }

  /** Load: memory becomes free; the upload that is nearest to its end goes on first. */
  @Test
  void stoppedUploadNearestToItsEndIsResumedFirst() {
    HeldMemory other = openPartial(29 * MEGABYTE, 0);
    HeldMemory early = openPartial(MEGABYTE, 0);
    budget.admitsBody(early, LARGE_BODY);
    HeldMemory late = openPartial(3 * MEGABYTE, 0);
    budget.admitsBody(late, LARGE_BODY);
    budget.update(other, true, 31 * MEGABYTE + 1, 0, 0);
    assertThat(budget.mayRead(early, 0), is(false));
    assertThat(budget.mayRead(late, 0), is(false));
    assertThat(budget.resumable(10), is(empty()));

    long freedBytes = CallerMemoryBudget.SMALL_REQUEST_BYTES + 3 * HeapCost.CONNECTION_BYTES;
    budget.update(other, true, 31 * MEGABYTE - freedBytes, 0, 0);

    assertThat(budget.resumable(10), contains(late));
    assertThat(late.isStopped(), is(false));
  }

  /** Load: connections that send nothing fill the connection limit. */
  @Test
  void oldestSilentConnectionIsFoundAfterOneSecond() {
    HeldMemory kept = budget.open("caller", 0);
    budget.recordProgress(kept, 0);
    HeldMemory silent = budget.open("caller", 0);
    budget.open("caller", 500);

    assertThat(budget.silentConnection(999), is(Optional.empty()));
    assertThat(
        budget.silentConnection(60_000), is(Optional.of(new Victim(silent, Eviction.CLOSE))));
  }

  /** Load: a closed connection leaves nothing behind in the budget. */
  @Test
  void closedConnectionsFreeTheBudget() {
    HeldMemory held = openPartial(30 * MEGABYTE, 0);
    budget.close(held);
    budget.update(held, true, 50 * MEGABYTE, 0, 0);

    assertThat(budget.totalBytes(), is(0L));
    assertThat(budget.partialRequests(), is(0));
  }

  private HeldMemory openPartial(long bytes, long nowMillis) {
    HeldMemory held = budget.open("caller", nowMillis);
    budget.update(held, true, bytes, 0, 0);
    return held;
  }
}
