package org.knapweedcleat.core.listener;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Load: many connections that hold incomplete heads, bodies or unread responses, or nothing, beside
 * a few ordinary ones.
 */
class ListenerBudgetTest {

  private static final ListenerLimits LIMITS = new ListenerLimits(3, 10, 1_000, 5_000);

  private final ListenerBudget budget = ListenerBudget.of(LIMITS);

  @Test
  void closesLongestSilentConnectionWhenThereAreTooMany() {
    open(1, 0);
    open(2, 10);
    open(3, 20);
    hold(1, 0, 200, false, 2_000);

    assertThat(budget.opened(4, 3_000).map(Eviction::connection), is(Optional.of(2L)));
    assertThat(budget.openConnections(), is(3));
  }

  @Test
  void refusesNewConnectionWhenAllServeRequests() {
    for (long number = 1; number <= 3; number++) {
      open(number, 0);
      hold(number, 100, 100, false, 0);
    }

    assertThat(
        budget.opened(4, 60_000), is(Optional.of(new Eviction(4, CloseReason.CONNECTIONS, 0))));
  }

  @Test
  void closesLargestOfThoseWithoutProgressWhenMemoryIsFull() {
    open(1, 0);
    open(2, 0);
    open(3, 0);
    hold(1, 300, 300, true, 0);
    hold(2, 200, 200, true, 0);

    List<Eviction> evictions = hold(3, 600, 600, true, 1_000);

    assertThat(evictions, contains(new Eviction(1, CloseReason.MEMORY, 300)));
    assertThat(budget.heldBytes(), is(800L));
  }

  @Test
  void neverClosesConnectionWithCompleteRequestForMemory() {
    open(1, 0);
    open(2, 0);
    hold(1, 900, 900, false, 0);

    assertThat(hold(2, 200, 200, true, 1_000), contains(new Eviction(2, CloseReason.MEMORY, 200)));
  }

  @Test
  void servesOneRequestThatIsLargerThanTheMemory() {
    open(1, 0);

    assertThat(hold(1, 5_000, 5_000, true, 0), is(empty()));
  }

  @Test
  void occasionalBytesDoNotExtendTheTimeOfBody() {
    open(1, 0);
    for (int at = 0; at < 5_000; at += 500) {
      hold(1, 100, 1, true, at);
    }

    assertThat(budget.tick(4_999), is(empty()));
    assertThat(budget.tick(5_000), contains(new Eviction(1, CloseReason.STALLED, 100)));
  }

  @Test
  void slowUploadIsNotCutOff() {
    open(1, 0);
    for (int at = 0; at <= 60_000; at += 1_000) {
      hold(1, 100, 300, true, at);
      assertThat(budget.tick(at), is(empty()));
    }
  }

  @Test
  void headHasOneTimeLimitWhateverItSends() {
    open(1, 0);
    for (int at = 0; at < 5_000; at += 100) {
      budget.update(1, new ConnectionUsage(100, 2_000, true, true, 1), at);
    }

    assertThat(budget.tick(5_000).size(), is(1));
  }

  @Test
  void closesConnectionWithTooManyHeaderLines() {
    open(1, 0);

    assertThat(
        budget.update(1, new ConnectionUsage(100, 100, true, true, 11), 0),
        contains(new Eviction(1, CloseReason.HEADER_LINES, 100)));
  }

  @Test
  void idleConnectionIsNotStalled() {
    open(1, 0);
    hold(1, 0, 0, false, 0);

    assertThat(budget.tick(1_000_000), is(empty()));
  }

  private void open(long number, long nowMillis) {
    assertThat(budget.opened(number, nowMillis), is(Optional.empty()));
  }

  private List<Eviction> hold(long number, long bytes, long moved, boolean waits, long nowMillis) {
    return budget.update(number, new ConnectionUsage(bytes, moved, waits, false, 1), nowMillis);
  }
}
