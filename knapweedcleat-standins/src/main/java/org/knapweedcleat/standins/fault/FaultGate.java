package org.knapweedcleat.standins.fault;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Holds the faults that a test ordered and lets the calls fail that they meet. */
public final class FaultGate {

  private static final int REFUSED_STATUS = 503;

  private final Vertx vertx;
  private final List<Fault> faults = new ArrayList<>();

  private FaultGate(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Returns a gate without faults whose orders come in at {@code /standin/faults}.
   *
   * @param vertx for the delays
   * @param router gets the admin routes
   * @return the gate
   */
  public static FaultGate of(Vertx vertx, Router router) {
    FaultGate gate = new FaultGate(vertx);
    router.post("/standin/faults").handler(gate::order);
    router.delete("/standin/faults").handler(gate::clear);
    return gate;
  }

  /**
   * Returns the handler that goes before the one that does the work.
   *
   * @param stage the name that faults know the call by
   * @return the handler
   */
  public Handler<RoutingContext> at(String stage) {
    return context -> {
      Optional<Fault> fault = take(stage);
      if (fault.isEmpty()) {
        context.next();
        return;
      }
      apply(fault.get(), context);
    };
  }

  private void apply(Fault fault, RoutingContext context) {
    switch (fault.kind()) {
      case DROP -> context.request().connection().close();
      case DELAY -> vertx.setTimer(fault.millis(), id -> context.next());
      case REFUSE -> {
        context.response().putHeader("X-Not-Run", "true");
        Answers.error(context, REFUSED_STATUS, "BUSY");
      }
      default -> {
        Answers.spoil(context, fault);
        context.next();
      }
    }
  }

  private Optional<Fault> take(String stage) {
    for (int i = 0; i < faults.size(); i++) {
      Fault fault = faults.get(i);
      if (fault.meets(stage)) {
        spend(i, fault);
        return Optional.of(fault);
      }
    }
    return Optional.empty();
  }

  private void spend(int index, Fault fault) {
    if (fault.times() > 1) {
      faults.set(index, fault.once());
    } else {
      faults.remove(index);
    }
  }

  private void order(RoutingContext context) {
    faults.add(context.body().asPojo(Fault.class));
    Answers.ok(context);
  }

  private void clear(RoutingContext context) {
    faults.clear();
    Answers.ok(context);
  }
}
