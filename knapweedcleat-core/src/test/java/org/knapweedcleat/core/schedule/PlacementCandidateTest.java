package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ServiceSpec;

class PlacementCandidateTest {

  private static final FleetDocument DOCUMENT = TestFleet.document(1, 1, List.of());
  private static final ServiceSpec NOTES = DOCUMENT.services().get(TestFleet.NOTES);

  @Test
  void ordersBoundsFromShortest() {
    assertThat(allowedMillis(10_000, 60_000), contains(2_500L, 10_000L, 40_000L, 60_000L));
  }

  @Test
  void ordersBoundsFromShortestAfterMissedTarget() {
    assertThat(allowedMillis(-1, 50_000), contains(2_500L, 10_000L, 40_000L, 50_000L));
  }

  @Test
  void returnsOneCandidateWhenLittleTimeIsLeft() {
    assertThat(allowedMillis(10_000, 2_500), contains(2_500L));
  }

  @Test
  void usesMinimumBoundForSmallestTarget() {
    assertThat(allowedMillis(1, 2), contains(1L, 2L));
  }

  @Test
  void returnsNothingWhenAllEndpointsAreLeaving() {
    FleetDocument leaving = TestFleet.document(1, 1, List.of(TestFleet.decode(1)));
    assertThat(PlacementCandidate.plan(leaving, NOTES, TestFleet.DOMAIN, 10_000, 60_000), empty());
  }

  private static List<Long> allowedMillis(long targetMillis, long remainingMillis) {
    return PlacementCandidate.plan(DOCUMENT, NOTES, TestFleet.DOMAIN, targetMillis, remainingMillis)
        .stream()
        .map(PlacementCandidate::allowedMillis)
        .toList();
  }
}
