package org.knapweedcleat.core.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.Revision;

class OrderBookTest {

  private static final EngineOrder LOAD =
      new EngineOrder(EndpointId.of("d1"), OrderKind.LOAD_MODEL, "horn");
  private static final EngineOrder ROLE =
      new EngineOrder(EndpointId.of("d1"), OrderKind.SET_ROLE, "decode");

  private final OrderBook book = OrderBook.create();

  @Test
  void repeatsUntilAcceptedAndThenSeldom() {
    book.want(Set.of(LOAD), number(1, 1));
    OrderAction action = book.due(0).get(0);
    assertThat(book.due(5), empty());
    assertThat(book.answered(10, action, OrderAnswer.UNKNOWN), is(false));
    assertThat(book.due(10 + OrderBook.RETRY_MILLIS), contains(action));
    assertThat(book.answered(1_100, action, OrderAnswer.ACCEPTED), is(true));
    assertThat(book.due(1_100 + OrderBook.REPEAT_MILLIS - 1), empty());
    assertThat(book.due(1_100 + OrderBook.REPEAT_MILLIS), contains(action));
    assertThat(book.answered(40_000, action, OrderAnswer.ACCEPTED), is(false));
  }

  @Test
  void neverReturnsToAnOlderDocument() {
    book.want(Set.of(LOAD), number(7, 1));
    book.want(Set.of(ROLE), number(6, 9));
    assertThat(book.due(0), contains(new OrderAction(LOAD, number(7, 1))));
  }

  @Test
  void givesOrdersThatMustNotBeReorderedOnlyWhereFencingIsChecked() {
    assertThat(OrderKind.SET_ROLE.mayBeGiven(false), is(false));
    assertThat(OrderKind.SET_ROLE.mayBeGiven(true), is(true));
    assertThat(OrderKind.LOAD_MODEL.mayBeGiven(false), is(true));
  }

  @Test
  void ordersAgainWhatAnEngineMayHaveForgotten() {
    book.want(Set.of(LOAD), number(1, 1));
    OrderAction action = book.due(0).get(0);
    book.answered(1, action, OrderAnswer.ACCEPTED);
    book.mayHaveForgotten(LOAD.endpoint());
    assertThat(book.due(2), contains(action));
  }

  /** Two schedulers order by documents that they learn at different times; messages cross. */
  @Property(seed = "3", tries = 500)
  void theNewestRoleStaysAtAnEngineThatChecks(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 9) Integer> revisions,
      @ForAll Random random) {
    List<OrderBook> books = List.of(OrderBook.create(), OrderBook.create());
    List<OrderAction> underway = new ArrayList<>();
    FakeEngine engine = new FakeEngine();
    for (int revision : revisions) {
      OrderBook book = books.get(random.nextInt(2));
      book.want(Set.of(role(revision)), number(revision, 1));
      underway.addAll(book.due(0));
      Collections.shuffle(underway, random);
      if (random.nextBoolean() && !underway.isEmpty()) {
        engine.take(underway.remove(0));
      }
    }
    underway.forEach(engine::take);
    assertThat(engine.role, is("role-" + engine.highest / number(1, 0).toLong()));
  }

  private static EngineOrder role(int revision) {
    return new EngineOrder(LOAD.endpoint(), OrderKind.SET_ROLE, "role-" + revision);
  }

  private static final class FakeEngine {
    private long highest;
    private String role;

    void take(OrderAction action) {
      if (action.fencingNumber().toLong() >= highest) {
        highest = action.fencingNumber().toLong();
        role = action.order().subject();
      }
    }
  }

  private static FencingNumber number(long revision, long epoch) {
    return FencingNumber.of(Revision.of(revision), epoch);
  }
}
