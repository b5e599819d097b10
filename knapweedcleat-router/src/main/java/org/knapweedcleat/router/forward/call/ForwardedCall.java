package org.knapweedcleat.router.forward.call;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.knapweedcleat.core.balance.EndpointEligibility;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.directory.RegionRestriction;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.forward.AttemptLedger;
import org.knapweedcleat.core.forward.RetryDecision;
import org.knapweedcleat.core.forward.WindowedRetryBudget;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.quarantine.QuarantinedPart;
import org.knapweedcleat.core.throttle.LimitObservation;
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
import org.knapweedcleat.router.forward.http.ResponseMatcher;
import org.knapweedcleat.router.forward.http.TransportFailure;

/** One admitted call, from its first attempt at an endpoint to the final response. */
abstract class ForwardedCall {

  /** Retry-After from a stopping instance, after which the caller may try another one. */
  static final long STOP_RETRY_MILLIS = 50;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Base Retry-After of a refused call: about as long as a place at an endpoint stays occupied. */
  private static final long BASE_RETRY_AFTER_MILLIS = 700;

  /** Spreads the return of callers that were refused while they waited for the same permit. */
  private static final long PERMIT_RETURN_SPREAD_MILLIS = 500;

  protected final ForwardContext context;
  protected final CallerExchange exchange;
  protected final InboundCall call;
  protected final ForwardRoute route;
  protected final ServiceId service;
  protected final AttemptLedger ledger;
  protected final SendPermits permits;
  protected final long startedMillis;
  private final Optional<AccountQuota> account;
  private final RegionRestriction restriction;
  private final EndpointEligibility eligibility;
  private final long quotaUnits;
  private final long expiresAtMillis;
  private final WindowedRetryBudget retryBudget;
  private final Map<EndpointId, EndpointWorkload> activeWork = new HashMap<>();
  private final OpenRequests requests = new OpenRequests();
  private Optional<StandbyAttempt> standby = Optional.empty();
  private long searchNumber;
  private boolean finished;
  private Runnable endHandler = () -> {};
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
    this.service = route.selectService(context.random().getAsDouble());
    this.account = account;
    this.restriction = RegionRestriction.of(route, account);
    this.eligibility = context.eligibility();
    this.quotaUnits = units;
    this.retryBudget = context.retryBudgets().budget(service);
    this.ledger = AttemptLedger.of(route, retryBudget);
    this.permits = SendPermits.of(context, this);
    this.startedMillis = context.nowMillis();
    this.expiresAtMillis = startedMillis + route.effectiveTimeoutMillis(call.deadlineMillis());
  }

  /**
   * Starts the deadline timer and the first attempt.
   *
   * @param onEnd called when the call has ended
   */
  final void start(Runnable onEnd) {
    endHandler = onEnd;
    retryBudget.recordCall(startedMillis);
    exchange.onCallerDisconnected(this::onCallerDisconnected);
    long millis = Math.max(1, remainingMillis());
    deadlineTimer = context.vertx().setTimer(millis, timer -> onDeadline());
    place();
  }

  /** Chooses an endpoint and sends the call there. */
  protected abstract void place();

  /** Returns when the steps of the call happened, as alternating log keys and values. */
  protected List<Object> timings() {
    return List.of();
  }

  /** Sets the resources of the silent attempt aside; the search for a successor uses its own. */
  protected void onStandbyKept() {}

  /** Releases the resources that were set aside for the silent attempt. */
  protected void onStandbyLeft() {}

  /** Releases the resources of the search and takes back those of the silent attempt. */
  protected void onSearchCancelled() {}

  /** Releases remote resources after the call has finished. */
  protected void onFinished() {}

  protected final boolean isFinished() {
    return finished;
  }

  protected final long remainingMillis() {
    return expiresAtMillis - context.nowMillis();
  }

  /** Returns the rank of the call; 0 is the most urgent. */
  protected final int rank() {
    return context.placements().ranks().rank(service, route, account);
  }

  /** Returns the id of the client account, empty if there is none. */
  protected final String accountName() {
    return account.map(quota -> quota.account().value()).orElse("");
  }

  protected final DispatchAttributes dispatch(
      EndpointEntry endpoint,
      boolean prefillOnly,
      Optional<KvHandle> kvHandle,
      Optional<String> resumeAfter) {
    return new DispatchAttributes(
        endpoint.id(),
        account.map(AccountQuota::account),
        Math.max(1, remainingMillis()),
        rank(),
        prefillOnly,
        kvHandle,
        resumeAfter);
  }

  /**
   * Lists the endpoints of the service that currently accept calls, without a silent one that still
   * has this call.
   */
  protected final List<EndpointEntry> candidates() {
    List<EndpointEntry> available =
        eligibility.eligible(
            context.nowMillis(), publishedEndpoints(), restriction, call.requestId());
    return standby.isEmpty()
        ? available
        : available.stream()
            .filter(one -> !one.id().equals(standby.get().endpoint().id()))
            .toList();
  }

  private List<EndpointEntry> publishedEndpoints() {
    return context.directory().endpoints().available(service);
  }

  /** Returns whether a region may serve the call. */
  protected final boolean mayBeServedIn(RegionId region) {
    return restriction.allows(Optional.of(region));
  }

  protected final boolean hasStandby() {
    return standby.isPresent();
  }

  protected final boolean isStandby(StandbyAttempt attempt) {
    return standby.isPresent() && standby.get() == attempt;
  }

  /** Returns the number of the current search; actions of an earlier search are void. */
  protected final long currentSearch() {
    return searchNumber;
  }

  protected final boolean isCurrentSearch(long number) {
    return !finished && number == searchNumber;
  }

  /** Keeps a silent attempt open and looks for another endpoint meanwhile. */
  protected final void searchBeside(StandbyAttempt silent) {
    cancelAttemptTimer();
    requests.keepAsStandby();
    standby = Optional.of(silent);
    onStandbyKept();
    place();
  }

  /** Leaves the silent attempt, if any, because another endpoint has taken the call over. */
  protected final void replaceStandby(EndpointEntry successor) {
    standby.ifPresent(
        silent -> {
          context.metrics().counter("attempts.replaced").inc();
          logStandby("attempt.replaced", silent, "endpoint " + successor.id() + " took over");
          dropStandby();
          silent.onLeft();
        });
  }

  /** Leaves the silent attempt, which has failed; the search is the only attempt. */
  protected final void endStandby(String reason) {
    StandbyAttempt silent = standby.orElseThrow();
    context.metrics().counter("attempts.ended").inc();
    logStandby("attempt.ended", silent, reason);
    dropStandby();
    silent.onLeft();
  }

  private void dropStandby() {
    StandbyAttempt silent = standby.orElseThrow();
    standby = Optional.empty();
    requests.abortStandby();
    endWork(silent.endpoint().id());
    onStandbyLeft();
  }

  /** Ends the search, whatever it has reached, because the silent endpoint goes on. */
  protected final void cancelSearch(String reason) {
    StandbyAttempt silent = standby.orElseThrow();
    context.metrics().counter("attempts.continued").inc();
    logStandby("attempt.continued", silent, reason);
    standby = Optional.empty();
    searchNumber++;
    cancelAttemptTimer();
    requests.returnToStandby();
    activeWork.keySet().stream()
        .filter(id -> !id.equals(silent.endpoint().id()))
        .toList()
        .forEach(this::endWork);
    ledger.refundUnused();
    onSearchCancelled();
  }

  /**
   * Waits for the silent endpoint again, if there is one, instead of ending the call.
   *
   * @return false if no endpoint is left that may still respond
   */
  protected final boolean returnToStandby(String reason) {
    if (finished || standby.isEmpty()) {
      return false;
    }
    StandbyAttempt silent = standby.get();
    cancelSearch(reason);
    silent.awaitProgress();
    return true;
  }

  private void logStandby(String event, StandbyAttempt silent, String reason) {
    context
        .log()
        .failure(
            event,
            "requestId",
            call.requestId(),
            "endpoint",
            silent.endpoint().id(),
            "silentMillis",
            silent.silentMillis(),
            "why",
            reason,
            "sends",
            ledger.sends(),
            "remainingMillis",
            remainingMillis());
  }

  /** Tells whether an endpoint that was chosen earlier is still published and accepts calls. */
  protected final boolean acceptsCalls(EndpointEntry chosen) {
    EndpointIncarnation incarnation = EndpointIncarnation.of(chosen);
    return candidates().stream()
        .anyMatch(candidate -> EndpointIncarnation.of(candidate).equals(incarnation));
  }

  /**
   * Refuses a call without candidate endpoints. If some of them accept it later, since they have
   * asked for a pause or have reached their rate limit, Retry-After is when the first one does.
   */
  protected final void refuseWithoutCandidates() {
    EndpointEligibility.Refusal refusal =
        eligibility.explain(
            context.nowMillis(), publishedEndpoints(), restriction, call.requestId());
    refusal
        .reasons()
        .forEach(
            reason ->
                context
                    .metrics()
                    .counter("calls.ineligible." + reason.name().toLowerCase(Locale.ROOT))
                    .inc());
    String reason =
        refusal.reasons().isEmpty()
            ? "the service has no other endpoint that accepts work"
            : "no endpoint may take the call: "
                + refusal.reasons().stream()
                    .map(one -> one + " (" + one.description() + ")")
                    .collect(Collectors.joining(", "));
    if (refusal.opensInMillis().isPresent()) {
      long spreadMillis =
          permits.wasDenied()
              ? (long) (PERMIT_RETURN_SPREAD_MILLIS * context.random().getAsDouble())
              : 0;
      refuse(reason, refusal.opensInMillis().getAsLong() + spreadMillis);
    } else {
      proceed(ledger.giveUp(), reason);
    }
  }

  /**
   * Records what a response announces about the availability of its endpoint.
   *
   * @param isGenuine whether the response is certain to come from the endpoint, so that it also
   *     counts what it does not announce
   */
  protected final void recordNotice(
      EndpointEntry endpoint,
      ResponseHead response,
      ResponseKind kind,
      boolean isGenuine,
      long sentMillis) {
    if (kind == ResponseKind.MISDIRECTED) {
      return;
    }
    AvailabilityNotice notice = context.codec().decodeNotice(response);
    recordRateLimit(endpoint, notice, isGenuine, sentMillis);
    notice.coldMillis().ifPresent(millis -> recordColdTime(endpoint, millis));
    notice
        .pauseMillis()
        .ifPresent(millis -> context.notices().markPaused(context.nowMillis(), endpoint, millis));
    if (notice.leaving() && context.notices().markLeaving(endpoint)) {
      context
          .log()
          .stateChange("endpoint.leaving", "endpoint", endpoint.id(), "source", "its response");
    }
  }

  private void recordColdTime(EndpointEntry endpoint, long remainingMillis) {
    long coldStartMillis =
        context
            .directory()
            .findService(endpoint.service())
            .map(ServiceProfile::coldStartMillis)
            .orElse(0L);
    context.directory().eligibility().recordStatement(endpoint, remainingMillis, coldStartMillis);
  }

  private void recordRateLimit(
      EndpointEntry endpoint, AvailabilityNotice notice, boolean isGenuine, long sentMillis) {
    boolean isLimited = notice.requestsPerSecond().isPresent();
    LimitObservation observation =
        new LimitObservation(
            EndpointIncarnation.of(endpoint),
            notice.requestsPerSecond(),
            isLimited ? context.nowMillis() : sentMillis,
            ObservationSource.LOCAL);
    if ((isLimited || isGenuine) && context.rateLimits().record(observation)) {
      context.log().limitChange(observation);
    }
  }

  /** Sends the call to an endpoint; responses to other requests are ignored. */
  protected final void send(
      EndpointEntry endpoint, DispatchAttributes dispatch, ResponseListener listener) {
    context.health().get(endpoint.id()).recordSend(context.nowMillis());
    permits.recordSend(endpoint);
    EndpointRequest sent =
        context
            .pool()
            .send(
                endpoint.host(),
                endpoint.port(),
                context.codec().encodeRequest(exchange.head(), dispatch),
                exchange.body(),
                matcher(dispatch),
                listener);
    if (!finished) {
      requests.begin(sent);
    } else {
      sent.abort();
    }
  }

  private ResponseMatcher matcher(DispatchAttributes dispatch) {
    return dispatch.prefillOnly()
        ? ResponseMatcher.ofOther(Optional.of(call.requestId()), context.codec()::requestId)
        : ResponseMatcher.ofRun(call.requestId(), context.codec()::requestId);
  }

  /** Pauses reading from the endpoint while the caller reads the response more slowly. */
  protected final void applyBackpressure() {
    if (exchange.isWriteQueueFull()) {
      requests
          .current()
          .ifPresent(
              paused -> {
                paused.pause();
                exchange.onWriteQueueDrained(paused::resume);
              });
    }
  }

  /** Aborts the current request to an endpoint, if any; its listener is not called again. */
  protected final void abortRequest() {
    requests.abortCurrent();
    cancelAttemptTimer();
  }

  protected final void startAttemptTimer(long millis, Runnable onTimeout) {
    cancelAttemptTimer();
    attemptTimer =
        context
            .vertx()
            .setTimer(
                Math.max(1, millis),
                timer -> {
                  attemptTimer = -1;
                  if (!finished) {
                    onTimeout.run();
                  }
                });
  }

  protected final void cancelAttemptTimer() {
    if (attemptTimer >= 0) {
      context.vertx().cancelTimer(attemptTimer);
      attemptTimer = -1;
    }
  }

  /** Records in an endpoint's health why a request got no complete response. */
  protected final void recordFailure(EndpointHealth health, TransportFailure cause) {
    if (!cause.isEndpointFault()) {
      return;
    }
    if (cause.isUnreachable()) {
      health.markUnreachable();
      return;
    }
    health.recordFailure(context.nowMillis());
    if (cause == TransportFailure.CONNECTION_LOST) {
      health.markSuspected();
    }
  }

  /**
   * Records that an endpoint has made no progress with the call for its timeout.
   *
   * @param searches whether another endpoint is looked for
   */
  protected final void recordSilence(EndpointEntry endpoint, long silentMillis, boolean searches) {
    context.metrics().counter("attempts.silent").inc();
    context
        .log()
        .failure(
            "attempt.silent",
            "requestId",
            call.requestId(),
            "endpoint",
            endpoint.id(),
            "silentMillis",
            silentMillis,
            "responseStarted",
            exchange.isResponseStarted(),
            "searches",
            searches,
            "sends",
            ledger.sends(),
            "repeatsLeft",
            retriesLeft(),
            "remainingMillis",
            remainingMillis());
  }

  protected final void beginWork(EndpointId endpoint, EndpointWorkload work) {
    context.work().addLocal(endpoint, work);
    activeWork.merge(endpoint, work, EndpointWorkload::plus);
  }

  protected final void endWork(EndpointId endpoint) {
    EndpointWorkload work = activeWork.remove(endpoint);
    if (work != null) {
      context.work().removeLocal(endpoint, work);
    }
  }

  protected final void proceed(RetryDecision step, String reason) {
    switch (step) {
      case AGAIN -> {
        context
            .log()
            .failure(
                "call.again",
                "requestId",
                call.requestId(),
                "why",
                reason,
                "sends",
                ledger.sends(),
                "repeatsLeft",
                retriesLeft(),
                "remainingMillis",
                remainingMillis());
        place();
      }
      case REFUSE ->
          refuse(
              reason, (long) (BASE_RETRY_AFTER_MILLIS * (1 + context.random().getAsDouble() / 2)));
      case FAIL -> fail(reason);
      default -> throw new IllegalStateException(step.name());
    }
  }

  /**
   * Responds that the call has not run and when to retry; if it may have run, responds as {@link
   * #fail} does.
   */
  protected final void refuse(String reason, long retryAfterMillis) {
    if (ledger.mayHaveRun()) {
      fail(reason);
      return;
    }
    account.ifPresent(quota -> context.quota().refund(quota, quotaUnits));
    finishWith(RouterResponse.NOT_RUN, reason, Optional.of(retryAfterMillis));
  }

  /**
   * Ends the call if engines crash under a part of its prompt; to be called before each send.
   *
   * @return true if the call has ended
   */
  protected final boolean refuseIfQuarantined() {
    Optional<QuarantinedPart> part = context.quarantine().find(call.sharedParts());
    part.ifPresent(
        quarantined -> {
          context.metrics().counter("calls.quarantined").inc();
          refuse(quarantined.describe(), context.quarantine().remainingMillis(quarantined));
        });
    return part.isPresent();
  }

  /** Records that an endpoint was lost before its response, or when that had just begun. */
  protected final void recordEngineLoss(EndpointEntry endpoint, TransportFailure cause) {
    if (cause == TransportFailure.CONNECTION_LOST && !call.sharedParts().isEmpty()) {
      context.quarantine().recordLoss(endpoint, call.requestId(), call.sharedParts());
    }
  }

  /** Records that an endpoint survived the call. */
  protected final void recordServed() {
    context.quarantine().recordServed(call.sharedParts());
  }

  /** Responds that the call failed and may have run, unless a silent endpoint still has it. */
  protected final void fail(String reason) {
    if (!returnToStandby(reason)) {
      finishWith(RouterResponse.FAILED, reason, Optional.empty());
    }
  }

  /** Finishes the call after the complete response was passed on. */
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

  /**
   * Aborts a response that was started and cannot be completed, unless a silent endpoint still has
   * the call.
   */
  protected final void abortResponse(String reason) {
    if (!returnToStandby(reason)) {
      breakOff(reason);
    }
  }

  private void breakOff(String reason) {
    if (finish()) {
      context.metrics().counter("calls.broken_off").inc();
      logOutcome("call.broken_off", reason);
      exchange.abort();
    }
  }

  private void finishWith(RouterResponse response, String reason, Optional<Long> retryAfterMillis) {
    if (exchange.isResponseStarted()) {
      breakOff(reason);
      return;
    }
    if (finish()) {
      context.metrics().counter("calls." + response.label()).inc();
      logOutcome("call." + response.label(), reason);
      respond(context, exchange, call.requestId(), response, retryAfterMillis);
    }
  }

  static void respond(
      ForwardContext context,
      CallerExchange exchange,
      String requestId,
      RouterResponse response,
      Optional<Long> retryAfterMillis) {
    List<HeaderField> headers = new ArrayList<>(context.codec().routerHeaders(requestId));
    retryAfterMillis.ifPresent(
        millis ->
            headers.add(
                new HeaderField(
                    "Retry-After",
                    String.format(Locale.ROOT, "%.3f", Math.max(1, millis) / MILLIS_PER_SECOND))));
    exchange.respond(response.status(), headers, Buffer.buffer());
  }

  /** Ends the call since the instance stops; the response says whether it may have run. */
  final void stop() {
    String reason = "the instance stops";
    if (ledger.mayHaveRun()) {
      finishWith(RouterResponse.FAILED, reason, Optional.empty());
    } else {
      refuse(reason, STOP_RETRY_MILLIS);
    }
  }

  private void onDeadline() {
    finishWith(RouterResponse.TIMED_OUT, "deadline exceeded", Optional.empty());
  }

  private void onCallerDisconnected() {
    if (finish()) {
      context.metrics().counter("calls.caller_left").inc();
      logOutcome("call.caller_left", "the caller closed its connection");
    }
  }

  private void logOutcome(String event, String reason) {
    context
        .log()
        .failure(
            event,
            "requestId",
            call.requestId(),
            "route",
            route.name(),
            "why",
            reason,
            "mayHaveRun",
            ledger.mayHaveRun(),
            "tried",
            ledger.triedEndpoints(),
            "repeatsLeft",
            retriesLeft(),
            "millis",
            context.nowMillis() - startedMillis,
            "configVersion",
            context.directory().config().map(config -> config.version()).orElse(0L),
            "storeAgeMillis",
            context.directory().ageMillis());
  }

  private String retriesLeft() {
    return String.format(Locale.ROOT, "%.1f", retryBudget.remaining(context.nowMillis()));
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    context.vertx().cancelTimer(deadlineTimer);
    abortRequest();
    if (hasStandby()) {
      dropStandby();
    }
    onFinished();
    ledger.refundUnused();
    List.copyOf(activeWork.keySet()).forEach(this::endWork);
    endHandler.run();
    return true;
  }
}
