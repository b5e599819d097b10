package org.knapweedcleat.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.StorePosition;

/** Evacuations that are published, lost and repeated while calls arrive. */
class DomainEvacuationsTest {

  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");
  private static final int CALLS = 1_000;

  private final DomainEvacuations evacuations = DomainEvacuations.create();

  @Test
  void evacuationLastsUntilItsKeyIsRemoved() {
    assertThat(apply(0, true, at(1, 10)), is(true));
    assertThat(apply(0, true, at(1, 10)), is(false));
    assertThat(evacuations.isEvacuated(DOMAIN), is(true));

    assertThat(apply(1_000, false, at(1, 12)), is(true));

    assertThat(evacuations.isEvacuated(DOMAIN), is(false));
  }

  /** Guards against a message of another instance that is older than the end of the evacuation. */
  @Test
  void lateReportDoesNotRestoreEndedEvacuation() {
    apply(0, true, at(1, 10));
    apply(0, false, at(1, 12));

    assertThat(apply(0, true, at(1, 10)), is(false));
    assertThat(evacuations.isEvacuated(DOMAIN), is(false));
  }

  /** Guards against an instance that starts after the end and hears an old report. */
  @Test
  void reportFromBeforeListingIsIgnored() {
    evacuations.endAbsent(0, Set.of(), at(1, 20));

    assertThat(apply(0, true, at(1, 10)), is(false));
    assertThat(apply(0, true, at(1, 21)), is(true));
  }

  /** Guards against an evacuation that ends unnoticed while the store keeps no history. */
  @Test
  void listingOfSameEraEndsAbsentEvacuation() {
    apply(0, true, at(1, 10));

    assertThat(evacuations.endAbsent(0, Set.of(), at(1, 20)), contains(DOMAIN));
    assertThat(evacuations.isEvacuated(DOMAIN), is(false));
  }

  @Test
  void listingOfEarlierPositionKeepsEvacuation() {
    apply(0, true, at(1, 30));

    assertThat(evacuations.endAbsent(0, Set.of(), at(1, 20)), empty());
    assertThat(evacuations.isEvacuated(DOMAIN), is(true));
  }

  /** Guards against calls to a domain whose evacuation a restored store has lost. */
  @Test
  void evacuationThatRestoredStoreLacksIsHeld() {
    apply(0, true, at(1, 30));
    evacuations.endAbsent(1_000, Set.of(), at(2, 20));

    assertThat(evacuations.endExpired(1_000 + DomainEvacuations.HOLD_MILLIS - 1), empty());
    assertThat(evacuations.isEvacuated(DOMAIN), is(true));
    assertThat(evacuations.endExpired(1_000 + DomainEvacuations.HOLD_MILLIS), contains(DOMAIN));
    assertThat(evacuations.isEvacuated(DOMAIN), is(false));
  }

  @Test
  void evacuationPublishedAgainInRestoredStoreStays() {
    apply(0, true, at(1, 30));
    evacuations.endAbsent(1_000, Set.of(), at(2, 20));
    apply(3_000, true, at(2, 22));

    assertThat(evacuations.endExpired(1_000 + 2 * DomainEvacuations.HOLD_MILLIS), empty());
    assertThat(evacuations.isEvacuated(DOMAIN), is(true));
  }

  /** Guards against all calls at once to a domain that has just returned. */
  @Test
  void returningDomainTakesGrowingShareOfCalls() {
    apply(0, true, at(1, 10));
    apply(1_000, false, at(1, 12));

    long halfTimeMillis = 1_000 + DomainEvacuations.RETURN_MILLIS / 2;
    assertThat(taken(1_000), lessThan(CALLS / 50L));
    assertThat(taken(halfTimeMillis), allOf(greaterThan(CALLS * 2L / 5), lessThan(CALLS * 3L / 5)));
    assertThat(taken(1_000 + DomainEvacuations.RETURN_MILLIS), is((long) CALLS));
  }

  /** Guards against calls that a returning domain takes and then no longer takes. */
  @Test
  void returningDomainKeepsTakingSameCall() {
    apply(0, true, at(1, 10));
    apply(0, false, at(1, 12));

    long waitMillis = evacuations.millisUntilReturned(0, DOMAIN, "id-7");
    assertThat(evacuations.millisUntilReturned(waitMillis - 1, DOMAIN, "id-7"), is(1L));
    assertThat(evacuations.millisUntilReturned(waitMillis, DOMAIN, "id-7"), is(0L));
    assertThat(evacuations.millisUntilReturned(waitMillis + 1, DOMAIN, "id-7"), is(0L));
  }

  private long taken(long nowMillis) {
    return IntStream.range(0, CALLS)
        .filter(i -> evacuations.millisUntilReturned(nowMillis, DOMAIN, "id-" + i) == 0)
        .count();
  }

  private boolean apply(long nowMillis, boolean evacuated, StorePosition position) {
    return evacuations.apply(nowMillis, new DomainEvacuations.Change(DOMAIN, evacuated, position));
  }

  private static StorePosition at(long era, long revision) {
    return StorePosition.of(era, revision);
  }
}
