package org.knapweedcleat.router.forward.call;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointWork;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.forward.CallLedger;
import org.knapweedcleat.core.forward.NextStep;
import org.knapweedcleat.core.forward.RepeatBudget;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.codec.AvailabilityNotice;
import org.knapweedcleat.router.forward.codec.DispatchAttributes;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.KvHandle;
import org.knapweedcleat.router.forward.codec.ResponseHead;
import org.knapweedcleat.router.forward.codec.ResponseKind;
import org.knapweedcleat.router.forward.codec.TokenUsage;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.EndpointRequest;
import org.knapweedcleat.router.forward.http.ResponseListener;
import org.knapweedcleat.router.forward.http.TransportFailure;

/** One admitted call, from its first endpoint to its final answer. */
abstract class ForwardedCall {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Retry-After of a call that found no place: about as long as a place stays taken. */
  private static final long BASE_RETRY_AFTER_MILLIS = 700;

  protected final ForwardContext context;
  protected final CallerExchange exchange;
  protected final InboundCall call;
  protected final ForwardRoute route;
  protected final ServiceId service;
  protected final CallLedger ledger;
  protected final long startedMillis;
  private final Optional<AccountQuota> account;
  private final long quotaUnits;
  private final long expiresAtMillis;
  private final RepeatBudget retryBudget;
  private final Map<EndpointId, EndpointWork> activeWork = new HashMap<>();
  private Optional<EndpointRequest> request = Optional.empty();
  private boolean finished;
  private long deadlineTimer;
  private long attemptTimer = -1;

  ForwardedCall(
      ForwardContext context,
      CallerExchange exchange,
      InboundCall call,
      ForwardRoute route,
      Optional<AccountQuota> account,
      long units) {
    this.context = context;
    this.exchange = exchange;
    this.call = call;
    this.route = route;
    this.service = route.choose(context.random().getAsDouble());
    this.account = account;
    this.quotaUnits = units;
    this.retryBudget = context.retryBudgets().budget(service);
    this.ledger = CallLedger.of(route, retryBudget);
    this.startedMillis = context.nowMillis();
    this.expiresAtMillis = startedMillis + route.longestMillis(call.deadlineMillis());
  }

  /** Begins the call. */
  final void start() {
    retryBudget.onCall(startedMillis);
    exchange.onCallerDisconnected(this::onCallerDisconnected);
    long millis = Math.max(1, remainingMillis());
    deadlineTimer = context.vertx().setTimer(millis, timer -> onDeadline());
    place();
  }

  /** Chooses an endpoint and sends the call there. */
  protected abstract void place();

  /** Returns when the steps of the call happened, as keys and values by turns. */
  protected List<Object> timings() {
    return List.of();
  }

  /** Frees what the call holds elsewhere, since it is over. */
  protected void onFinished() {}

  protected final boolean isFinished() {
    return finished;
  }

  protected final long remainingMillis() {
    return expiresAtMillis - context.nowMillis();
  }

  protected final DispatchAttributes dispatch(
      EndpointEntry endpoint,
      boolean prefillOnly,
      Optional<KvHandle> cache,
      Optional<String> resumeAfter) {
    int rank =
        account
            .map(AccountQuota::rank)
            .filter(own -> own != AccountQuota.NO_RANK)
            .orElse(route.rank());
    return new DispatchAttributes(
        endpoint.id(),
        account.map(AccountQuota::account),
        Math.max(1, remainingMillis()),
        rank,
        prefillOnly,
        cache,
        resumeAfter);
  }

  /** Lists the endpoints of the service that take calls now. */
  protected final List<EndpointEntry> candidates() {
    return context
        .notices()
        .open(context.nowMillis(), context.directory().endpoints().usable(service));
  }

  /**
   * Refuses a call for which there is no candidate; if all of them pause, until the first is back.
   */
  protected final void refuseWithoutCandidates() {
    OptionalLong opensInMillis =
        context
            .notices()
            .opensInMillis(context.nowMillis(), context.directory().endpoints().usable(service));
    if (opensInMillis.isPresent()) {
      refuse("all endpoints of the service want no calls for now", opensInMillis.getAsLong());
    } else {
      proceed(ledger.end(), "no endpoint of the service takes calls");
    }
  }

  /** Takes what an answer says of further calls to its endpoint. */
  protected final void recordNotice(
      EndpointEntry endpoint, ResponseHead reply, ResponseKind nature) {
    if (nature == ResponseKind.MISDIRECTED) {
      return;
    }
    AvailabilityNotice notice = context.codec().decodeNotice(reply);
    notice
        .pauseMillis()
        .ifPresent(millis -> context.notices().pauses(context.nowMillis(), endpoint, millis));
    if (notice.leaving() && context.notices().leaves(endpoint)) {
      context
          .log()
          .stateChange("endpoint.leaving", "endpoint", endpoint.id(), "source", "its answer");
    }
  }

  /** Sends the call to an endpoint; answers to other requests are not heard. */
  protected final void send(
      EndpointEntry endpoint, DispatchAttributes dispatch, ResponseListener listener) {
    context.health().of(endpoint.id()).sending(context.nowMillis());
    EndpointRequest next =
        context
            .pool()
            .send(
                endpoint.host(),
                endpoint.port(),
                context.codec().encodeRequest(exchange.head(), dispatch),
                exchange.body(),
                head -> context.codec().classify(head, call.requestId()) != ResponseKind.FOREIGN,
                listener);
    if (!finished) {
      request = Optional.of(next);
    } else {
      next.abort();
    }
  }

  /** Lets the endpoint wait while the caller takes its answer slower than it comes. */
  protected final void applyBackpressure() {
    if (exchange.isWriteQueueFull()) {
      request.ifPresent(EndpointRequest::pause);
      exchange.onWriteQueueDrained(() -> request.ifPresent(EndpointRequest::resume));
    }
  }

  /** Ends the send that is under way, if any, so that nothing more is heard of it. */
  protected final void abortRequest() {
    request.ifPresent(EndpointRequest::abort);
    request = Optional.empty();
    cancelAttemptTimer();
  }

  protected final void startAttemptTimer(long millis, Runnable runsOut) {
    cancelAttemptTimer();
    attemptTimer =
        context
            .vertx()
            .setTimer(
                Math.max(1, millis),
                timer -> {
                  attemptTimer = -1;
                  if (!finished) {
                    runsOut.run();
                  }
                });
  }

  protected final void cancelAttemptTimer() {
    if (attemptTimer >= 0) {
      context.vertx().cancelTimer(attemptTimer);
      attemptTimer = -1;
    }
  }

  /** Notes why a send to an endpoint got no whole answer. */
  protected final void recordFailure(EndpointHealth health, TransportFailure cause) {
    if (cause.isUnreachable()) {
      health.unreachable();
      return;
    }
    health.failed(context.nowMillis());
    if (cause == TransportFailure.CONNECTION_LOST) {
      health.suspected();
    }
  }

  protected final void beginWork(EndpointId endpoint, EndpointWork work) {
    context.work().begin(endpoint, work);
    activeWork.merge(endpoint, work, EndpointWork::plus);
  }

  protected final void endWork(EndpointId endpoint) {
    EndpointWork work = activeWork.remove(endpoint);
    if (work != null) {
      context.work().end(endpoint, work);
    }
  }

  protected final void proceed(NextStep step, String why) {
    switch (step) {
      case AGAIN -> {
        context
            .log()
            .failure(
                "call.again",
                "requestId",
                call.requestId(),
                "why",
                why,
                "sends",
                ledger.sends(),
                "repeatsLeft",
                retriesLeft(),
                "remainingMillis",
                remainingMillis());
        place();
      }
      case REFUSE ->
          refuse(why, (long) (BASE_RETRY_AFTER_MILLIS * (1 + context.random().getAsDouble() / 2)));
      case FAIL -> fail(why);
      default -> throw new IllegalStateException(step.name());
    }
  }

  /** Tells the caller that the call has not run and when to come back. */
  protected final void refuse(String why, long retryAfterMillis) {
    if (ledger.mayHaveRun()) {
      fail(why);
      return;
    }
    account.ifPresent(quota -> context.quota().giveBack(quota, quotaUnits));
    finishWith(RouterResponse.NOT_RUN, why, Optional.of(retryAfterMillis));
  }

  /** Tells the caller that the call may have run. */
  protected final void fail(String why) {
    finishWith(RouterResponse.FAILED, why, Optional.empty());
  }

  /** Ends the call after its whole answer was passed on. */
  protected final void complete(int status, EndpointId endpoint, long firstMillis) {
    if (finish()) {
      long millis = context.nowMillis() - startedMillis;
      context.metrics().counter("calls.answered").inc();
      context
          .metrics()
          .histogram("calls.first." + route.kind().name().toLowerCase(Locale.ROOT) + ".millis")
          .update(firstMillis);
      context
          .metrics()
          .timer("calls.whole." + route.kind().name().toLowerCase(Locale.ROOT))
          .update(millis, TimeUnit.MILLISECONDS);
      List<Object> pairs =
          new ArrayList<>(
              List.of(
                  "requestId",
                  call.requestId(),
                  "route",
                  route.name(),
                  "status",
                  status,
                  "endpoint",
                  endpoint,
                  "sends",
                  ledger.sends(),
                  "promptTokens",
                  call.usage().map(TokenUsage::promptTokens).orElse(0L),
                  "maxOutputTokens",
                  call.usage().map(TokenUsage::maxOutputTokens).orElse(0L),
                  "firstMillis",
                  firstMillis,
                  "millis",
                  millis));
      pairs.addAll(timings());
      context.log().success("call.answered", pairs.toArray());
    }
  }

  /** Ends an answer that was begun and cannot be completed. */
  protected final void abortResponse(String why) {
    if (finish()) {
      context.metrics().counter("calls.broken_off").inc();
      logOutcome("call.broken_off", why);
      exchange.abort();
    }
  }

  private void finishWith(RouterResponse answer, String why, Optional<Long> retryAfterMillis) {
    if (exchange.isResponseStarted()) {
      abortResponse(why);
      return;
    }
    if (finish()) {
      context.metrics().counter("calls." + answer.label()).inc();
      logOutcome("call." + answer.label(), why);
      respond(context, exchange, call.requestId(), answer, retryAfterMillis);
    }
  }

  static void respond(
      ForwardContext context,
      CallerExchange exchange,
      String requestId,
      RouterResponse answer,
      Optional<Long> retryAfterMillis) {
    List<HeaderField> headers = new ArrayList<>(context.codec().routerHeaders(requestId));
    retryAfterMillis.ifPresent(
        millis ->
            headers.add(
                new HeaderField(
                    "Retry-After",
                    String.format(Locale.ROOT, "%.3f", Math.max(1, millis) / MILLIS_PER_SECOND))));
    exchange.respond(answer.status(), headers, Buffer.buffer());
  }

  private void onDeadline() {
    finishWith(RouterResponse.TIMED_OUT, "the time for the answer is over", Optional.empty());
  }

  private void onCallerDisconnected() {
    if (finish()) {
      context.metrics().counter("calls.caller_left").inc();
      logOutcome("call.caller_left", "the caller closed its connection");
    }
  }

  private void logOutcome(String event, String why) {
    context
        .log()
        .failure(
            event,
            "requestId",
            call.requestId(),
            "route",
            route.name(),
            "why",
            why,
            "mayHaveRun",
            ledger.mayHaveRun(),
            "tried",
            ledger.tried(),
            "repeatsLeft",
            retriesLeft(),
            "millis",
            context.nowMillis() - startedMillis,
            "configVersion",
            context.directory().config().map(one -> one.version()).orElse(0L),
            "storeAgeMillis",
            context.directory().storeAgeMillis());
  }

  private String retriesLeft() {
    return String.format(Locale.ROOT, "%.1f", retryBudget.left(context.nowMillis()));
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    context.vertx().cancelTimer(deadlineTimer);
    abortRequest();
    onFinished();
    ledger.settle();
    List.copyOf(activeWork.keySet()).forEach(this::endWork);
    return true;
  }
}
