package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A stream whose events arrive every 40 ms, some of them together or late. */
class StepTimerTest {

  private final StepTimer timer = StepTimer.create();
  private final List<Double> observed = new ArrayList<>();

  @Test
  void oneObservationForEightIntervals() {
    events(0, 17);

    assertThat(observed, is(List.of(40.0, 40.0)));
  }

  /** Guards against a single long stream that decides about an engine. */
  @Test
  void streamGivesAtMostThreeObservations() {
    events(0, 100);

    assertThat(observed.size(), is(3));
  }

  /** Guards against a link that delivers events in pairs, which would seem to halve the time. */
  @Test
  void eventsThatArriveTogetherCountWithTheirMean() {
    for (int i = 0; i < 9; i++) {
      event(i / 2 * 80L);
    }

    assertThat(observed, is(List.of(40.0)));
  }

  /** Guards against a caller that does not read and makes its engine seem slow. */
  @Test
  void pauseByTheCallerIsNotMeasured() {
    events(0, 5);
    timer.onPaused();
    events(60_000, 9);

    assertThat(observed, is(List.of(40.0)));
  }

  private void events(long firstMillis, int count) {
    for (int i = 0; i < count; i++) {
      event(firstMillis + i * 40L);
    }
  }

  private void event(long nowMillis) {
    timer.onEvent(nowMillis).ifPresent(observed::add);
  }
}
