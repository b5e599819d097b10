package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.ServiceId;

class EndpointAvailabilityTest {

  private final EndpointAvailability availability = EndpointAvailability.create();
  private final EndpointEntry one = entry("one", 1);
  private final EndpointEntry two = entry("two", 1);

  @Test
  void leavingEndpointStaysUnavailable() {
    assertThat(availability.markLeaving(one), is(true));
    assertThat(availability.markLeaving(one), is(false));
    availability.markPaused(0, one, 10);

    assertThat(availability.available(Long.MAX_VALUE - 1, List.of(one, two)), contains(two));
  }

  @Test
  void restartedEndpointIsAvailable() {
    availability.markLeaving(one);

    assertThat(availability.available(0, List.of(entry("one", 2))).size(), is(1));
  }

  @Test
  void pauseExpires() {
    availability.markPaused(100, one, 50);

    assertThat(availability.available(149, List.of(one)), is(empty()));
    assertThat(availability.available(150, List.of(one)), contains(one));
  }

  @Test
  void shorterPauseDoesNotShortenLongerOne() {
    availability.markPaused(100, one, 50);
    availability.markPaused(110, one, 5);

    assertThat(availability.available(120, List.of(one)), is(empty()));
  }

  @Test
  void waitsForFirstEndpointToBecomeAvailable() {
    availability.markPaused(100, one, 50);
    availability.markPaused(100, two, 80);
    assertThat(availability.millisUntilAvailable(120, List.of(one, two)), is(OptionalLong.of(30)));
    availability.markLeaving(one);
    assertThat(availability.millisUntilAvailable(120, List.of(one, two)), is(OptionalLong.of(60)));

    assertThat(availability.millisUntilAvailable(120, List.of(one)), is(OptionalLong.empty()));
  }

  private static EndpointEntry entry(String id, long bornMillis) {
    return new EndpointEntry(
        EndpointId.of(id),
        bornMillis,
        ServiceId.of("notes"),
        "10.0.0.1",
        80,
        FailureDomainId.of("a"),
        EndpointStage.DECODE,
        4,
        false);
  }
}
