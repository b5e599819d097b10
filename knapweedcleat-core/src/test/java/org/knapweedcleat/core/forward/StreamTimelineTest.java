package org.knapweedcleat.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class StreamTimelineTest {

  private final StreamTimeline timeline = StreamTimeline.began(1_000);

  @Test
  void stepsCountFromTheBeginning() {
    timeline.placed(1_010);
    timeline.read(1_200);
    timeline.event(1_300);
    assertThat(timeline.placedMillis(), is(10L));
    assertThat(timeline.readMillis(), is(200L));
    assertThat(timeline.firstMillis(), is(300L));
  }

  @Test
  void onlyTheFirstPlaceCounts() {
    timeline.placed(1_010);
    timeline.placed(2_000);
    assertThat(timeline.placedMillis(), is(10L));
  }

  @Test
  void theLongestPauseIsBetweenEventsOnly() {
    timeline.event(5_000);
    timeline.event(5_050);
    timeline.event(5_350);
    timeline.event(5_400);
    assertThat(timeline.longestPauseMillis(), is(300L));
  }

  @Test
  void stepsThatNeverHappenedAreMarked() {
    assertThat(timeline.placedMillis(), is(-1L));
    assertThat(timeline.readMillis(), is(-1L));
    assertThat(timeline.firstMillis(), is(-1L));
    assertThat(timeline.longestPauseMillis(), is(0L));
  }
}
