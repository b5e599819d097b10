package org.knapweedcleat.router.forward.call;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointWorkload;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.forward.RetryDecision;
import org.knapweedcleat.router.forward.codec.DispatchAttributes;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.ResponseHead;
import org.knapweedcleat.router.forward.codec.ResponseKind;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.ResponseListener;
import org.knapweedcleat.router.forward.http.TransportFailure;

/** A call with a single response, which is buffered and passed on when it is complete. */
final class UnaryCall extends ForwardedCall {

  private static final EndpointWorkload ONE_CALL = new EndpointWorkload(1, 0, 0);

  /** Longer responses are passed on as they arrive; ordinary ones are far shorter. */
  private static final int STREAMING_THRESHOLD_BYTES = 256 * 1024;

  /** A buffer takes up to twice the length of its content, since it doubles when it is full. */
  private static final long BUFFER_GROWTH = 2;

  /** A retryable call is sent to another endpoint after this multiple of its latency target. */
  private static final double ATTEMPT_TIMEOUT_TARGETS = 1.5;

  /**
   * How long a call stays open at a silent endpoint beside the next one. Refusals and failed
   * connections are known by then; longer, a call would occupy two places.
   */
  private static final long MAX_OVERLAP_MILLIS = 300;

  private static final int FIRST_SERVER_ERROR = 500;

  UnaryCall(
      ForwardContext context,
      CallerExchange exchange,
      InboundCall call,
      ForwardRoute route,
      Optional<AccountQuota> account,
      long units) {
    super(context, exchange, call, route, account, units);
  }

  @Override
  protected void place() {
    context
        .chooser()
        .selectForPlainCall(
            context.nowMillis(), candidates(), ledger.triedEndpoints(), exchange.body().length())
        .ifPresentOrElse(
            endpoint -> permits.whenPermitted(endpoint, () -> send(endpoint), this::place),
            this::refuseWithoutCandidates);
  }

  private void send(EndpointEntry endpoint) {
    if (refuseIfQuarantined()) {
      return;
    }
    beginWork(endpoint.id(), ONE_CALL);
    ledger.recordSend(endpoint.id());
    DispatchAttributes dispatch = dispatch(endpoint, false, Optional.empty(), call.resumeAfter());
    Attempt attempt = new Attempt(endpoint);
    send(endpoint, dispatch, attempt);
    if (hasStandby()) {
      startAttemptTimer(MAX_OVERLAP_MILLIS, attempt::takeOver);
    } else if (route.isRepeatable()) {
      attempt.awaitProgress();
    }
  }

  private final class Attempt implements ResponseListener, StandbyAttempt {
    private final EndpointEntry endpoint;
    private final EndpointHealth health;
    private final long sentMillis = context.nowMillis();
    private final Buffer buffered = Buffer.buffer();
    private ResponseHead head;
    private ResponseKind kind;

    Attempt(EndpointEntry endpoint) {
      this.endpoint = endpoint;
      this.health = context.health().get(endpoint.id());
    }

    @Override
    public void onHead(ResponseHead response) {
      head = response;
      kind = context.codec().classify(response, call.requestId());
      recordNotice(endpoint, response, kind, kind == ResponseKind.GENUINE, sentMillis);
      if (isStandby(this)) {
        goOn();
      } else if (isFinalResponse()) {
        replaceStandby(endpoint);
      }
    }

    /** Returns whether the response, once complete, is passed on as the call's response. */
    private boolean isFinalResponse() {
      return kind == ResponseKind.GENUINE && head.status() < FIRST_SERVER_ERROR;
    }

    /** Ends the search if this attempt is the standby and its response can be passed on. */
    private void goOn() {
      if (isStandby(this) && isFinalResponse()) {
        cancelSearch("the endpoint responds");
        awaitProgress();
      }
    }

    @Override
    public EndpointEntry endpoint() {
      return endpoint;
    }

    @Override
    public long silentMillis() {
      return context.nowMillis() - sentMillis;
    }

    @Override
    public void awaitProgress() {
      startAttemptTimer((long) (ATTEMPT_TIMEOUT_TARGETS * route.targetMillis()), this::onTimeout);
    }

    void takeOver() {
      replaceStandby(endpoint);
      awaitProgress();
    }

    @Override
    public long maxBodyBytes() {
      return kind == ResponseKind.GENUINE ? Long.MAX_VALUE : MAX_BUFFERED_BODY_BYTES;
    }

    @Override
    public void onBody(Buffer bytes) {
      goOn();
      if (exchange.isResponseStarted()) {
        exchange.write(bytes);
        applyBackpressure();
        return;
      }
      buffered.appendBuffer(bytes);
      boolean mayHold = exchange.holdResponse(BUFFER_GROWTH * buffered.length());
      boolean passesOn = !mayHold || buffered.length() > STREAMING_THRESHOLD_BYTES;
      if (passesOn && kind == ResponseKind.GENUINE && !hasStandby()) {
        exchange.startResponse(head.status(), context.codec().callerHeaders(head));
        exchange.write(buffered);
      }
    }

    @Override
    public void onComplete() {
      goOn();
      if (isStandby(this)) {
        onStandbyEnded();
        return;
      }
      cancelAttemptTimer();
      endWork(endpoint.id());
      long nowMillis = context.nowMillis();
      switch (kind) {
        case NOT_RUN, MISDIRECTED -> {
          if (kind == ResponseKind.MISDIRECTED) {
            health.markMisdirected(nowMillis);
          } else {
            health.recordFailure(nowMillis);
          }
          proceed(ledger.onRefused(nowMillis), "endpoint " + endpoint.id() + " refused the call");
        }
        case GENUINE -> onEndpointResponse(nowMillis);
        default -> {
          health.recordFailure(nowMillis);
          proceed(
              ledger.onFailed(nowMillis),
              "endpoint " + endpoint.id() + " sent a response without proof of its origin");
        }
      }
    }

    /** Handles a response of a silent endpoint that cannot be passed on; the search goes on. */
    private void onStandbyEnded() {
      long nowMillis = context.nowMillis();
      if (kind.isNotRun()) {
        ledger.onRefused(nowMillis);
      }
      health.recordFailure(nowMillis);
      endStandby("responded with status " + head.status());
    }

    private void onEndpointResponse(long nowMillis) {
      if (head.status() >= FIRST_SERVER_ERROR) {
        health.recordFailure(nowMillis);
        if (!exchange.isResponseStarted() && ledger.onFailed(nowMillis) == RetryDecision.AGAIN) {
          proceed(
              RetryDecision.AGAIN,
              "endpoint " + endpoint.id() + " responded with status " + head.status());
          return;
        }
        if (returnToStandby(
            "endpoint " + endpoint.id() + " responded with status " + head.status())) {
          return;
        }
      } else {
        health.recordSuccess(nowMillis, nowMillis - sentMillis);
        if (head.isSuccess()) {
          recordServed();
        }
      }
      if (exchange.isResponseStarted()) {
        exchange.end();
      } else {
        exchange.respond(head.status(), context.codec().callerHeaders(head), buffered);
      }
      complete(head.status(), endpoint.id(), nowMillis - startedMillis);
    }

    @Override
    public void onFailure(TransportFailure cause) {
      recordEngineLoss(endpoint, cause);
      if (isStandby(this)) {
        recordFailure(health, cause);
        endStandby(cause.name());
        return;
      }
      cancelAttemptTimer();
      endWork(endpoint.id());
      long nowMillis = context.nowMillis();
      recordFailure(health, cause);
      if (exchange.isResponseStarted()) {
        abortResponse("endpoint " + endpoint.id() + ": " + cause);
      } else if (cause.mayHaveReachedEndpoint()) {
        proceed(ledger.onFailed(nowMillis), "endpoint " + endpoint.id() + ": " + cause);
      } else {
        proceed(ledger.onNotSent(), "endpoint " + endpoint.id() + ": " + cause);
      }
    }

    void onTimeout() {
      if (exchange.isResponseStarted()) {
        return;
      }
      boolean searches = ledger.onFailed(context.nowMillis()) == RetryDecision.AGAIN;
      recordSilence(endpoint, silentMillis(), searches);
      if (searches) {
        recordFailure(health, TransportFailure.SILENT);
        searchBeside(this);
      } else {
        awaitProgress();
      }
    }
  }
}
