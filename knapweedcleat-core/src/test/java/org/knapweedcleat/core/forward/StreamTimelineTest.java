package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class StreamTimelineTest {

  private final StreamTimeline timeline = StreamTimeline.startedAt(1_000);

  @Test
  void stepsAreRelativeToStart() {
    timeline.recordPlacement(1_010);
    timeline.recordPrefill(1_200);
    timeline.recordEvent(1_300);
    assertThat(timeline.placedMillis(), is(10L));
    assertThat(timeline.prefilledMillis(), is(200L));
    assertThat(timeline.firstEventMillis(), is(300L));
  }

  @Test
  void onlyFirstPlacementCounts() {
    timeline.recordPlacement(1_010);
    timeline.recordPlacement(2_000);
    assertThat(timeline.placedMillis(), is(10L));
  }

  @Test
  void longestGapIsBetweenEventsOnly() {
    timeline.recordEvent(5_000);
    timeline.recordEvent(5_050);
    timeline.recordEvent(5_350);
    timeline.recordEvent(5_400);
    assertThat(timeline.longestGapMillis(), is(300L));
  }

  @Test
  void missingStepsAreMinusOne() {
    assertThat(timeline.placedMillis(), is(-1L));
    assertThat(timeline.prefilledMillis(), is(-1L));
    assertThat(timeline.firstEventMillis(), is(-1L));
    assertThat(timeline.longestGapMillis(), is(0L));
  }
}
