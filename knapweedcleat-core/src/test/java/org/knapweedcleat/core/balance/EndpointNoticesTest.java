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

class EndpointNoticesTest {

  private final EndpointNotices notices = EndpointNotices.create();
  private final EndpointEntry one = entry("one", 1);
  private final EndpointEntry two = entry("two", 1);

  @Test
  void endpointThatLeavesStaysClosed() {
    assertThat(notices.leaves(one), is(true));
    assertThat(notices.leaves(one), is(false));
    notices.pauses(0, one, 10);

    assertThat(notices.open(Long.MAX_VALUE - 1, List.of(one, two)), contains(two));
  }

  @Test
  void endpointThatStartsAgainUnderItsIdIsOpen() {
    notices.leaves(one);

    assertThat(notices.open(0, List.of(entry("one", 2))).size(), is(1));
  }

  @Test
  void pauseEnds() {
    notices.pauses(100, one, 50);

    assertThat(notices.open(149, List.of(one)), is(empty()));
    assertThat(notices.open(150, List.of(one)), contains(one));
  }

  @Test
  void shorterPauseDoesNotEndLongerOne() {
    notices.pauses(100, one, 50);
    notices.pauses(110, one, 5);

    assertThat(notices.open(120, List.of(one)), is(empty()));
  }

  @Test
  void timeOfReturnIsThatOfTheFirstToReturn() {
    notices.pauses(100, one, 50);
    notices.pauses(100, two, 80);
    assertThat(notices.opensInMillis(120, List.of(one, two)), is(OptionalLong.of(30)));
    notices.leaves(one);
    assertThat(notices.opensInMillis(120, List.of(one, two)), is(OptionalLong.of(60)));

    assertThat(notices.opensInMillis(120, List.of(one)), is(OptionalLong.empty()));
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
