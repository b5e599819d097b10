package org.knapweedcleat.standins.fault;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Injects the faults that tests configure over HTTP. */
public final class FaultInjector {

  private static final int REJECTED_STATUS = 503;

  private final Vertx vertx;
  private final List<FaultRule> rules = new ArrayList<>();

  private FaultInjector(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Creates an injector without rules that is configured at {@code /standin/faults}.
   *
   * @param vertx runs the delay timers
   * @param router the router to add the administrative routes to
   * @return the injector
   */
  public static FaultInjector of(Vertx vertx, Router router) {
    FaultInjector injector = new FaultInjector(vertx);
    router.post("/standin/faults").handler(injector::addRule);
    router.delete("/standin/faults").handler(injector::clearRules);
    return injector;
  }

  /**
   * Returns a handler to install before the one that serves the call.
   *
   * @param stage the stage that rules match the call by
   * @return the handler
   */
  public Handler<RoutingContext> handlerFor(String stage) {
    return context -> {
      Optional<FaultRule> rule = takeMatching(stage);
      if (rule.isEmpty()) {
        context.next();
        return;
      }
      apply(rule.get(), context);
    };
  }

  private void apply(FaultRule rule, RoutingContext context) {
    switch (rule.kind()) {
      case DROP -> context.request().connection().close();
      case DELAY -> vertx.setTimer(rule.millis(), id -> context.next());
      case REFUSE -> {
        context.response().putHeader("X-Not-Run", "true");
        ResponseSender.sendError(context, REJECTED_STATUS, "BUSY");
      }
      default -> {
        ResponseSender.setFault(context, rule);
        context.next();
      }
    }
  }

  private Optional<FaultRule> takeMatching(String stage) {
    for (int i = 0; i < rules.size(); i++) {
      FaultRule rule = rules.get(i);
      if (rule.matches(stage)) {
        consume(i, rule);
        return Optional.of(rule);
      }
    }
    return Optional.empty();
  }

  private void consume(int index, FaultRule rule) {
    if (rule.times() > 1) {
      rules.set(index, rule.withTimesDecremented());
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
