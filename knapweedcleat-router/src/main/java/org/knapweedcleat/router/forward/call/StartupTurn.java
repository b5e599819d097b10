package org.knapweedcleat.router.forward.call;

import java.util.Optional;
import org.knapweedcleat.core.room.CapacityWaitPolicy;
import org.knapweedcleat.router.forward.startup.StartupAdmission;

/** The admission of one call by an instance that may have just started. */
final class StartupTurn {

  private final ForwardContext context;
  private final ForwardedCall call;
  private final StartupAdmission.Turn turn;

  private StartupTurn(ForwardContext context, ForwardedCall call) {
    this.context = context;
    this.call = call;
    this.turn = context.startup().turn(call.service, call.call.requestId());
  }

  static StartupTurn of(ForwardContext context, ForwardedCall call) {
    return new StartupTurn(context, call);
  }

  /** Runs an action when the call is admitted, or refuses the call. */
  void whenAdmitted(Runnable onAdmitted) {
    Optional<StartupAdmission.Terms> terms = call.startupTerms();
    if (terms.isEmpty()) {
      onAdmitted.run();
      return;
    }
    turn.request(
        terms.get(),
        new StartupAdmission.Listener() {
          @Override
          public void onAdmitted() {
            onAdmitted.run();
          }

          @Override
          public void onRefused(long retryAfterMillis) {
            refuse(retryAfterMillis);
          }
        });
  }

  private void refuse(long retryAfterMillis) {
    call.refuse(
        "the instance has just started and has its share of the service's calls in flight",
        CapacityWaitPolicy.spreadRetryMillis(
            retryAfterMillis, call.remainingMillis(), context.random().getAsDouble()));
  }

  /** Ends the call, which lets another one be admitted. */
  void end() {
    turn.end();
  }
}
