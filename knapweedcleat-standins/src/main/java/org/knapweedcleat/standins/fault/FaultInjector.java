package org.knapweedcleat.standins.fault;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Holds the faults that a test ordered and lets the calls fail that they meet. */
public final class FaultInjector {

  private static final int REFUSED_STATUS = 503;

  private final Vertx vertx;
  private final List<FaultRule> rules = new ArrayList<>();

  private FaultInjector(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Returns a gate without faults whose orders come in at {@code /standin/faults}.
   *
   * @param vertx for the delays
   * @param router gets the admin routes
   * @return the gate
   */
  public static FaultInjector of(Vertx vertx, Router router) {
    FaultInjector gate = new FaultInjector(vertx);
    router.post("/standin/faults").handler(gate::addRule);
    router.delete("/standin/faults").handler(gate::clearRules);
    return gate;
  }

  /**
   * Returns the handler that goes before the one that does the work.
   *
   * @param stage the name that faults know the call by
   * @return the handler
   */
  public Handler<RoutingContext> handlerFor(String stage) {
    return context -> {
      Optional<FaultRule> fault = takeMatching(stage);
      if (fault.isEmpty()) {
        context.next();
        return;
      }
      apply(fault.get(), context);
    };
  }

  private void apply(FaultRule fault, RoutingContext context) {
    switch (fault.kind()) {
      case DROP -> context.request().connection().close();
      case DELAY -> vertx.setTimer(fault.millis(), id -> context.next());
      case REFUSE -> {
        context.response().putHeader("X-Not-Run", "true");
        ResponseSender.sendError(context, REFUSED_STATUS, "BUSY");
      }
      default -> {
        ResponseSender.setFault(context, fault);
        context.next();
      }
    }
  }

  private Optional<FaultRule> takeMatching(String stage) {
    for (int i = 0; i < rules.size(); i++) {
      FaultRule fault = rules.get(i);
      if (fault.matches(stage)) {
        consume(i, fault);
        return Optional.of(fault);
      }
    }
    return Optional.empty();
  }

  private void consume(int index, FaultRule fault) {
    if (fault.times() > 1) {
      rules.set(index, fault.withOneUseLess());
    } else {
      rules.remove(index);
    }
  }

  private void addRule(RoutingContext context) {
    rules.add(context.body().asPojo(FaultRule.class));
    ResponseSender.sendDone(context);
  }

  private void clearRules(RoutingContext context) {
    rules.clear();
    ResponseSender.sendDone(context);
  }
}
