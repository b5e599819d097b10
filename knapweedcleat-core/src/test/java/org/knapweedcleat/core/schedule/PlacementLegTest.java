package org.knapweedcleat.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.ServiceSpec;

class PlacementLegTest {

  private static final FleetDocument DOCUMENT = TestFleet.document(1, 1, List.of());
  private static final ServiceSpec NOTES = DOCUMENT.services().get(TestFleet.NOTES);

  @Test
  void asksForPlaceInsideTheTargetFirst() {
    assertThat(
        PlacementLeg.plan(DOCUMENT, NOTES, TestFleet.DOMAIN, 10_000, 60_000),
        contains(
            new PlacementLeg(TestFleet.DOMAIN, 10_000),
            new PlacementLeg(TestFleet.DOMAIN, 60_000)));
  }

  @Test
  void asksOnlyOnceWhenTheTargetIsMissed() {
    assertThat(
        PlacementLeg.plan(DOCUMENT, NOTES, TestFleet.DOMAIN, -1, 50_000),
        contains(new PlacementLeg(TestFleet.DOMAIN, 50_000)));
  }

  @Test
  void asksNobodyWhenAllEndpointsAreLeaving() {
    FleetDocument leaving = TestFleet.document(1, 1, List.of(TestFleet.decode(1)));
    assertThat(PlacementLeg.plan(leaving, NOTES, TestFleet.DOMAIN, 10_000, 60_000), empty());
  }
}
