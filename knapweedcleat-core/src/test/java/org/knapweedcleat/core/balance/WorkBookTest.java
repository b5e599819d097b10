package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;

class WorkBookTest {

  private static final EndpointId ENDPOINT = EndpointId.of("e1");
  private static final EndpointWork WORK = new EndpointWork(1, 100, 120);

  private final WorkBook book = WorkBook.of(1_000);

  @Test
  void addsOwnWorkAndThatOfOthers() {
    book.begin(ENDPOINT, WORK);
    book.told("other", 0, Map.of(ENDPOINT, WORK));

    assertThat(book.at(ENDPOINT, 500), is(new EndpointWork(2, 200, 240)));
  }

  @Test
  void newerWordReplacesOlder() {
    book.told("other", 0, Map.of(ENDPOINT, WORK));
    book.told("other", 10, Map.of());

    assertThat(book.at(ENDPOINT, 10), is(EndpointWork.NONE));
  }

  @Test
  void oldWordDoesNotCount() {
    book.told("other", 0, Map.of(ENDPOINT, WORK));

    assertThat(book.at(ENDPOINT, 1_001), is(EndpointWork.NONE));
  }

  @Test
  void endedWorkLeavesNothing() {
    book.begin(ENDPOINT, WORK);
    book.end(ENDPOINT, WORK);

    assertThat(book.own(), is(anEmptyMap()));
  }
}
