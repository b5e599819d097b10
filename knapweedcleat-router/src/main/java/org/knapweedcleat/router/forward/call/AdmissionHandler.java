package org.knapweedcleat.router.forward.call;

import io.vavr.control.Either;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RoutingConfig;
import org.knapweedcleat.core.drain.StopWindow;
import org.knapweedcleat.router.forward.codec.DecodeError;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.TokenUsage;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.CallerHandler;

/** Admits calls: finds the route, the client account and its quota, and starts the call. */
public final class AdmissionHandler implements CallerHandler {

  /** When to come back to an instance that has not learned the configuration yet. */
  private static final long CONFIG_RETRY_MILLIS = 500;

  /** A store that was silent for longer may hold a newer configuration. */
  private static final long STALE_CONFIG_MILLIS = 5_000;

  /** When a caller may try another instance after one that stops. */
  private static final long DRAIN_RETRY_MILLIS = 50;

  private final ForwardContext context;
  private Optional<StopWindow> drainWindow = Optional.empty();

  private AdmissionHandler(ForwardContext context) {
    this.context = context;
  }

  /**
   * Returns a desk.
   *
   * @param context what its calls share
   * @return the desk
   */
  public static AdmissionHandler of(ForwardContext context) {
    return new AdmissionHandler(context);
  }

  /**
   * Begins a planned stop: calls that may outlast it are refused from now on.
   *
   * @param window the time of the stop
   */
  public void beginDrain(StopWindow window) {
    drainWindow = Optional.of(window);
  }

  @Override
  public void handle(CallerExchange exchange) {
    context.metrics().counter("calls.received").inc();
    Either<DecodeError, InboundCall> read = context.codec().decodeRequest(exchange.head());
    if (read.isLeft()) {
      refuse(exchange, "", RouterResponse.MALFORMED, read.getLeft().message(), Optional.empty());
      return;
    }
    InboundCall call = read.get();
    if (!context.directory().isKnown()) {
      String why = "no configuration is known yet";
      refuse(
          exchange,
          call.requestId(),
          RouterResponse.NOT_RUN,
          why,
          Optional.of(CONFIG_RETRY_MILLIS));
      return;
    }
    context.directory().config().ifPresent(config -> admit(exchange, call, config));
  }

  private void admit(CallerExchange exchange, InboundCall call, RoutingConfig config) {
    Optional<ForwardRoute> route = config.route(call.host(), exchange.head().path());
    if (route.isEmpty()) {
      refuseUnknown(exchange, call, RouterResponse.NO_ROUTE, "no route for host and path");
      return;
    }
    long longestMillis = route.get().longestMillis(call.deadlineMillis());
    if (drainWindow.isPresent() && !drainWindow.get().takes(context.nowMillis(), longestMillis)) {
      String why = "the instance is stopping and the call may outlast it";
      refuse(
          exchange, call.requestId(), RouterResponse.NOT_RUN, why, Optional.of(DRAIN_RETRY_MILLIS));
      return;
    }
    Optional<AccountQuota> account = call.key().map(KeyDigest::ofKey).flatMap(config::holder);
    if (config.isKeyed() && !route.get().open() && account.isEmpty()) {
      refuseUnknown(exchange, call, RouterResponse.UNKNOWN_KEY, "the key is missing or unknown");
      return;
    }
    long units = account.map(quota -> quotaUnits(call, quota)).orElse(0L);
    long waitMillis =
        account.map(quota -> context.quota().take(context.nowMillis(), quota, units)).orElse(0L);
    if (waitMillis > 0) {
      String why = "account " + account.get().account() + " has spent its quota";
      refuse(exchange, call.requestId(), RouterResponse.OVER_QUOTA, why, Optional.of(waitMillis));
      return;
    }
    ForwardedCall forwarded =
        route.get().kind().isStreamed()
            ? new StreamingCall(context, exchange, call, route.get(), account, units)
            : new UnaryCall(context, exchange, call, route.get(), account, units);
    forwarded.start();
  }

  private static long quotaUnits(InboundCall call, AccountQuota quota) {
    return call.usage().map(TokenUsage::totalTokens).orElse(quota.unitsWithoutUsage());
  }

  /** Refuses for good only if no newer configuration may exist that this instance cannot see. */
  private void refuseUnknown(
      CallerExchange exchange, InboundCall call, RouterResponse answer, String why) {
    if (context.directory().storeAgeMillis() > STALE_CONFIG_MILLIS) {
      refuse(
          exchange,
          call.requestId(),
          RouterResponse.NOT_RUN,
          why + ", but the configuration may be old",
          Optional.of(CONFIG_RETRY_MILLIS));
      return;
    }
    refuse(exchange, call.requestId(), answer, why, Optional.empty());
  }

  private void refuse(
      CallerExchange exchange,
      String requestId,
      RouterResponse answer,
      String why,
      Optional<Long> retryAfterMillis) {
    context.metrics().counter("calls." + answer.label()).inc();
    context
        .log()
        .failure(
            "call." + answer.label(),
            "requestId",
            requestId,
            "why",
            why,
            "retryAfterMillis",
            retryAfterMillis.orElse(0L),
            "configVersion",
            context.directory().config().map(RoutingConfig::version).orElse(0L),
            "storeAgeMillis",
            context.directory().storeAgeMillis());
    ForwardedCall.respond(context, exchange, requestId, answer, retryAfterMillis);
  }
}
