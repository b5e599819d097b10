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

  private final OrderTracker tracker = OrderTracker.create();

  @Test
  void retriesUntilAcceptedThenRefreshesPeriodically() {
    tracker.setDesired(Set.of(LOAD), number(1, 1));
    OutgoingOrder order = tracker.takeDue(0).get(0);
    assertThat(tracker.takeDue(5), empty());
    assertThat(tracker.recordResult(10, order, OrderResult.UNKNOWN), is(false));
    assertThat(tracker.takeDue(10 + OrderTracker.RETRY_MILLIS), contains(order));
    assertThat(tracker.recordResult(1_100, order, OrderResult.ACCEPTED), is(true));
    assertThat(tracker.takeDue(1_100 + OrderTracker.REFRESH_MILLIS - 1), empty());
    assertThat(tracker.takeDue(1_100 + OrderTracker.REFRESH_MILLIS), contains(order));
    assertThat(tracker.recordResult(40_000, order, OrderResult.ACCEPTED), is(false));
  }

  @Test
  void ignoresOrdersFromOlderDocuments() {
    tracker.setDesired(Set.of(LOAD), number(7, 1));
    tracker.setDesired(Set.of(ROLE), number(6, 9));
    assertThat(tracker.takeDue(0), contains(new OutgoingOrder(LOAD, number(7, 1))));
  }

  @Test
  void sendsReorderSensitiveOrdersOnlyToEnginesWithFencing() {
    assertThat(OrderKind.SET_ROLE.isAllowedFor(false), is(false));
    assertThat(OrderKind.SET_ROLE.isAllowedFor(true), is(true));
    assertThat(OrderKind.LOAD_MODEL.isAllowedFor(false), is(true));
  }

  @Test
  void resendsOrdersToEngineThatMayHaveRestarted() {
    tracker.setDesired(Set.of(LOAD), number(1, 1));
    OutgoingOrder order = tracker.takeDue(0).get(0);
    tracker.recordResult(1, order, OrderResult.ACCEPTED);
    tracker.resendAllTo(LOAD.endpoint());
    assertThat(tracker.takeDue(2), contains(order));
  }

  /**
   * Two schedulers send orders based on documents that they receive at different times, and the
   * orders arrive shuffled. The role from the newest revision that reached the engine has to
   * remain.
   */
  @Property(seed = "3", tries = 500)
  void newestRolePrevailsAtEngineWithFencing(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 9) Integer> revisions,
      @ForAll Random random) {
    List<OrderTracker> trackers = List.of(OrderTracker.create(), OrderTracker.create());
    List<OutgoingOrder> inTransit = new ArrayList<>();
    FakeEngine engine = new FakeEngine();
    for (int revision : revisions) {
      OrderTracker tracker = trackers.get(random.nextInt(2));
      tracker.setDesired(Set.of(role(revision)), number(revision, 1));
      inTransit.addAll(tracker.takeDue(0));
      Collections.shuffle(inTransit, random);
      if (random.nextBoolean() && !inTransit.isEmpty()) {
        engine.receive(inTransit.remove(0));
      }
    }
    inTransit.forEach(engine::receive);
    assertThat(engine.role, is("role-" + engine.highestFencingNumber / number(1, 0).toLong()));
  }

  private static EngineOrder role(int revision) {
    return new EngineOrder(LOAD.endpoint(), OrderKind.SET_ROLE, "role-" + revision);
  }

  private static final class FakeEngine {
    private long highestFencingNumber;
    private String role;

    void receive(OutgoingOrder order) {
      if (order.fencingNumber().toLong() >= highestFencingNumber) {
        highestFencingNumber = order.fencingNumber().toLong();
        role = order.order().subject();
      }
    }
  }

  private static FencingNumber number(long revision, long epoch) {
    return FencingNumber.of(Revision.of(revision), epoch);
  }
}
