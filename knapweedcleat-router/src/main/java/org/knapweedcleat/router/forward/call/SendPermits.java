package org.knapweedcleat.router.forward.call;

import java.util.HashSet;
import java.util.Set;
import org.knapweedcleat.core.balance.IneligibilityReason;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.throttle.PermitDecision;

/** The permits of one call to be sent to endpoints that have a rate limit or are cold. */
final class SendPermits {

  /** A call waits for a permit for at most this multiple of its latency target. */
  private static final double MAX_DELAY_TARGETS = 0.5;

  private final ForwardContext context;
  private final ForwardedCall call;
  private final Set<EndpointId> held = new HashSet<>();
  private int denials;

  private SendPermits(ForwardContext context, ForwardedCall call) {
    this.context = context;
    this.call = call;
  }

  static SendPermits of(ForwardContext context, ForwardedCall call) {
    return new SendPermits(context, call);
  }

  /** Returns whether the call has been denied a permit. */
  boolean wasDenied() {
    return denials > 0;
  }

  /** Records that the call is sent to an endpoint, which uses up its permit. */
  void recordSend(EndpointEntry endpoint) {
    held.remove(endpoint.id());
    if (isLimited(endpoint)) {
      context.metrics().counter("sends.limited").inc();
    }
  }

  /**
   * Runs an action when the call may be sent to an endpoint, which is at once unless the endpoint
   * has announced a rate limit or is cold. If it may not be sent soon enough, the endpoint gets no
   * calls from this instance until the limit permits one.
   *
   * @param onPermitted sends the call
   * @param onDenied places the call again
   */
  void whenPermitted(EndpointEntry endpoint, Runnable onPermitted, Runnable onDenied) {
    if (!isLimited(endpoint) || held.contains(endpoint.id())) {
      onPermitted.run();
      return;
    }
    long search = call.currentSearch();
    context
        .permits()
        .request(endpoint, maxDelayMillis())
        .subscribe()
        .with(
            decision -> {
              if (call.isCurrentSearch(search)) {
                onDecision(endpoint, decision, onPermitted, onDenied);
              }
            });
  }

  private boolean isLimited(EndpointEntry endpoint) {
    return context.permits().isLimited(endpoint);
  }

  /** A call goes to another endpoint rather than wait, unless it has no choice. */
  private long maxDelayMillis() {
    boolean hasAlternative = denials == 0 && call.candidates().size() > 1;
    return hasAlternative ? 0 : (long) (MAX_DELAY_TARGETS * call.route.targetMillis());
  }

  private void onDecision(
      EndpointEntry endpoint, PermitDecision decision, Runnable onPermitted, Runnable onDenied) {
    if (!decision.granted()) {
      recordDenial(endpoint, decision.delayMillis());
      onDenied.run();
      return;
    }
    held.add(endpoint.id());
    if (decision.delayMillis() == 0) {
      onPermitted.run();
      return;
    }
    call.startAttemptTimer(
        decision.delayMillis(),
        () -> {
          if (call.acceptsCalls(endpoint)) {
            onPermitted.run();
          } else {
            onDenied.run();
          }
        });
  }

  private void recordDenial(EndpointEntry endpoint, long delayMillis) {
    denials++;
    IneligibilityReason reason = context.permits().reason(endpoint);
    context.metrics().counter("sends.denied").inc();
    context
        .log()
        .failure(
            "send.denied",
            "requestId",
            call.call.requestId(),
            "endpoint",
            endpoint.id(),
            "reason",
            reason,
            "permittedInMillis",
            delayMillis,
            "remainingMillis",
            call.remainingMillis());
    context.notices().markUnavailable(context.nowMillis(), endpoint, delayMillis, reason);
  }
}
