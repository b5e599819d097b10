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
import org.knapweedcleat.router.forward.codec.Dispatch;
import org.knapweedcleat.router.forward.codec.HeaderField;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.KvHandle;
import org.knapweedcleat.router.forward.codec.ReplyHead;
import org.knapweedcleat.router.forward.codec.ReplyNature;
import org.knapweedcleat.router.forward.codec.ReplyNotice;
import org.knapweedcleat.router.forward.codec.TokenUsage;
import org.knapweedcleat.router.forward.http.BrokenCause;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.EndpointRequest;
import org.knapweedcleat.router.forward.http.ReplyListener;

/** One admitted call, from its first endpoint to its final answer. */
abstract class ForwardedCall {

  private static final double SECOND_MILLIS = 1_000;

  /** Retry-After of a call that found no place: about as long as a place stays taken. */
  private static final long RETRY_AFTER_MILLIS = 700;

  protected final ForwardContext context;
  protected final CallerExchange exchange;
  protected final InboundCall call;
  protected final ForwardRoute route;
  protected final ServiceId service;
  protected final CallLedger ledger;
  protected final long beganMillis;
  private final Optional<AccountQuota> account;
  private final long units;
  private final long endMillis;
  private final RepeatBudget budget;
  private final Map<EndpointId, EndpointWork> begunWork = new HashMap<>();
  private Optional<EndpointRequest> request = Optional.empty();
  private boolean over;
  private long deadlineTimer;
  private long patienceTimer = -1;

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
    this.units = units;
    this.budget = context.budgets().budget(service);
    this.ledger = CallLedger.of(route, budget);
    this.beganMillis = context.nowMillis();
    this.endMillis = beganMillis + route.longestMillis(call.deadlineMillis());
  }

  /** Begins the call. */
  final void start() {
    budget.onCall(beganMillis);
    exchange.onLeft(this::callerLeft);
    long millis = Math.max(1, remainingMillis());
    deadlineTimer = context.vertx().setTimer(millis, timer -> timeIsOver());
    place();
  }

  /** Chooses an endpoint and sends the call there. */
  protected abstract void place();

  /** Returns when the steps of the call happened, as keys and values by turns. */
  protected List<Object> steps() {
    return List.of();
  }

  /** Frees what the call holds elsewhere, since it is over. */
  protected void onOver() {}

  protected final boolean isOver() {
    return over;
  }

  protected final long remainingMillis() {
    return endMillis - context.nowMillis();
  }

  protected final Dispatch dispatch(
      EndpointEntry endpoint,
      boolean prefillOnly,
      Optional<KvHandle> cache,
      Optional<String> resumeAfter) {
    int rank =
        account
            .map(AccountQuota::rank)
            .filter(own -> own != AccountQuota.NO_RANK)
            .orElse(route.rank());
    return new Dispatch(
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
      follow(ledger.end(), "no endpoint of the service takes calls");
    }
  }

  /** Takes what an answer says of further calls to its endpoint. */
  protected final void noteNotice(EndpointEntry endpoint, ReplyHead reply, ReplyNature nature) {
    if (nature == ReplyNature.MISDIRECTED) {
      return;
    }
    ReplyNotice notice = context.codec().notice(reply);
    notice
        .pauseMillis()
        .ifPresent(millis -> context.notices().pauses(context.nowMillis(), endpoint, millis));
    if (notice.leaving() && context.notices().leaves(endpoint)) {
      context.log().belief("endpoint.leaving", "endpoint", endpoint.id(), "source", "its answer");
    }
  }

  /** Sends the call to an endpoint; answers to other requests are not heard. */
  protected final void send(EndpointEntry endpoint, Dispatch dispatch, ReplyListener listener) {
    context.health().of(endpoint.id()).sending(context.nowMillis());
    EndpointRequest next =
        context
            .pool()
            .send(
                endpoint.host(),
                endpoint.port(),
                context.codec().outbound(exchange.head(), dispatch),
                exchange.body(),
                head -> context.codec().nature(head, call.requestId()) != ReplyNature.FOREIGN,
                listener);
    if (!over) {
      request = Optional.of(next);
    } else {
      next.abort();
    }
  }

  /** Lets the endpoint wait while the caller takes its answer slower than it comes. */
  protected final void pauseWhileBackedUp() {
    if (exchange.isBackedUp()) {
      request.ifPresent(EndpointRequest::pause);
      exchange.onDrained(() -> request.ifPresent(EndpointRequest::resume));
    }
  }

  /** Ends the send that is under way, if any, so that nothing more is heard of it. */
  protected final void abortSend() {
    request.ifPresent(EndpointRequest::abort);
    request = Optional.empty();
    endPatience();
  }

  protected final void patience(long millis, Runnable runsOut) {
    endPatience();
    patienceTimer =
        context
            .vertx()
            .setTimer(
                Math.max(1, millis),
                timer -> {
                  patienceTimer = -1;
                  if (!over) {
                    runsOut.run();
                  }
                });
  }

  protected final void endPatience() {
    if (patienceTimer >= 0) {
      context.vertx().cancelTimer(patienceTimer);
      patienceTimer = -1;
    }
  }

  /** Notes why a send to an endpoint got no whole answer. */
  protected final void noteBroken(EndpointHealth health, BrokenCause cause) {
    if (cause.isUnreachable()) {
      health.unreachable();
      return;
    }
    health.failed(context.nowMillis());
    if (cause == BrokenCause.CONNECTION_LOST) {
      health.suspected();
    }
  }

  protected final void beginWork(EndpointId endpoint, EndpointWork work) {
    context.work().begin(endpoint, work);
    begunWork.merge(endpoint, work, EndpointWork::plus);
  }

  protected final void endWork(EndpointId endpoint) {
    EndpointWork work = begunWork.remove(endpoint);
    if (work != null) {
      context.work().end(endpoint, work);
    }
  }

  protected final void follow(NextStep step, String why) {
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
                repeatsLeft(),
                "remainingMillis",
                remainingMillis());
        place();
      }
      case REFUSE ->
          refuse(why, (long) (RETRY_AFTER_MILLIS * (1 + context.random().getAsDouble() / 2)));
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
    account.ifPresent(quota -> context.quota().giveBack(quota, units));
    own(OwnAnswer.NOT_RUN, why, Optional.of(retryAfterMillis));
  }

  /** Tells the caller that the call may have run. */
  protected final void fail(String why) {
    own(OwnAnswer.FAILED, why, Optional.empty());
  }

  /** Ends the call after its whole answer was passed on. */
  protected final void answered(int status, EndpointId endpoint, long firstMillis) {
    if (close()) {
      long millis = context.nowMillis() - beganMillis;
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
      pairs.addAll(steps());
      context.log().routine("call.answered", pairs.toArray());
    }
  }

  /** Ends an answer that was begun and cannot be completed. */
  protected final void breakOff(String why) {
    if (close()) {
      context.metrics().counter("calls.broken_off").inc();
      logEnd("call.broken_off", why);
      exchange.abort();
    }
  }

  private void own(OwnAnswer answer, String why, Optional<Long> retryAfterMillis) {
    if (exchange.isBegun()) {
      breakOff(why);
      return;
    }
    if (close()) {
      context.metrics().counter("calls." + answer.word()).inc();
      logEnd("call." + answer.word(), why);
      respond(context, exchange, call.requestId(), answer, retryAfterMillis);
    }
  }

  static void respond(
      ForwardContext context,
      CallerExchange exchange,
      String requestId,
      OwnAnswer answer,
      Optional<Long> retryAfterMillis) {
    List<HeaderField> headers = new ArrayList<>(context.codec().ownAnswer(requestId));
    retryAfterMillis.ifPresent(
        millis ->
            headers.add(
                new HeaderField(
                    "Retry-After",
                    String.format(Locale.ROOT, "%.3f", Math.max(1, millis) / SECOND_MILLIS))));
    exchange.respond(answer.status(), headers, Buffer.buffer());
  }

  private void timeIsOver() {
    own(OwnAnswer.TIMED_OUT, "the time for the answer is over", Optional.empty());
  }

  private void callerLeft() {
    if (close()) {
      context.metrics().counter("calls.caller_left").inc();
      logEnd("call.caller_left", "the caller closed its connection");
    }
  }

  private void logEnd(String event, String why) {
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
            repeatsLeft(),
            "millis",
            context.nowMillis() - beganMillis,
            "configVersion",
            context.directory().config().map(one -> one.version()).orElse(0L),
            "storeAgeMillis",
            context.directory().storeAgeMillis());
  }

  private String repeatsLeft() {
    return String.format(Locale.ROOT, "%.1f", budget.left(context.nowMillis()));
  }

  private boolean close() {
    if (over) {
      return false;
    }
    over = true;
    context.vertx().cancelTimer(deadlineTimer);
    abortSend();
    onOver();
    ledger.settle();
    List.copyOf(begunWork.keySet()).forEach(this::endWork);
    return true;
  }
}
