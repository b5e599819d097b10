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

class OrderTrackerTest {

  private static final EngineOrder LOAD =
      new EngineOrder(EndpointId.of("d1"), OrderKind.LOAD_MODEL, "horn");
  private static final EngineOrder ROLE =
      new EngineOrder(EndpointId.of("d1"), OrderKind.SET_ROLE, "decode");

  private final OrderTracker book = OrderTracker.create();

  @Test
  void repeatsUntilAcceptedAndThenSeldom() {
    book.setDesired(Set.of(LOAD), number(1, 1));
    OutgoingOrder action = book.takeDue(0).get(0);
    assertThat(book.takeDue(5), empty());
    assertThat(book.recordResult(10, action, OrderResult.UNKNOWN), is(false));
    assertThat(book.takeDue(10 + OrderTracker.RETRY_MILLIS), contains(action));
    assertThat(book.recordResult(1_100, action, OrderResult.ACCEPTED), is(true));
    assertThat(book.takeDue(1_100 + OrderTracker.REFRESH_MILLIS - 1), empty());
    assertThat(book.takeDue(1_100 + OrderTracker.REFRESH_MILLIS), contains(action));
    assertThat(book.recordResult(40_000, action, OrderResult.ACCEPTED), is(false));
  }

  @Test
  void neverReturnsToAnOlderDocument() {
    book.setDesired(Set.of(LOAD), number(7, 1));
    book.setDesired(Set.of(ROLE), number(6, 9));
    assertThat(book.takeDue(0), contains(new OutgoingOrder(LOAD, number(7, 1))));
  }

  @Test
  void givesOrdersThatMustNotBeReorderedOnlyWhereFencingIsChecked() {
    assertThat(OrderKind.SET_ROLE.isAllowedFor(false), is(false));
    assertThat(OrderKind.SET_ROLE.isAllowedFor(true), is(true));
    assertThat(OrderKind.LOAD_MODEL.isAllowedFor(false), is(true));
  }

  @Test
  void ordersAgainWhatAnEngineMayHaveForgotten() {
    book.setDesired(Set.of(LOAD), number(1, 1));
    OutgoingOrder action = book.takeDue(0).get(0);
    book.recordResult(1, action, OrderResult.ACCEPTED);
    book.resendAllTo(LOAD.endpoint());
    assertThat(book.takeDue(2), contains(action));
  }

  /** Two schedulers order by documents that they learn at different times; messages cross. */
  @Property(seed = "3", tries = 500)
  void theNewestRoleStaysAtAnEngineThatChecks(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 9) Integer> revisions,
      @ForAll Random random) {
    List<OrderTracker> books = List.of(OrderTracker.create(), OrderTracker.create());
    List<OutgoingOrder> underway = new ArrayList<>();
    FakeEngine engine = new FakeEngine();
    for (int revision : revisions) {
      OrderTracker book = books.get(random.nextInt(2));
      book.setDesired(Set.of(role(revision)), number(revision, 1));
      underway.addAll(book.takeDue(0));
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

    void take(OutgoingOrder action) {
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
