package org.knapweedcleat.core.once;

import java.util.List;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * The outcome of a {@link ForwardedCall}; one of the lists has one element, the other none.
 *
 * @param answered the endpoint's answer
 * @param failed what the caller is told instead
 */
public record ForwardedAnswer(List<PlainAnswer> answered, List<CallerFailure> failed)
    implements PeerMessage {

  /** Checks that there is one outcome. */
  public ForwardedAnswer {
    answered = List.copyOf(answered);
    failed = List.copyOf(failed);
    if (answered.size() + failed.size() != 1) {
      throw new IllegalArgumentException("not one outcome");
    }
  }

  /**
   * Returns the message for an outcome.
   *
   * @param outcome the outcome
   * @return the message
   */
  public static ForwardedAnswer of(CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Answered done) {
      return new ForwardedAnswer(List.of(done.answer()), List.of());
    }
    return new ForwardedAnswer(List.of(), List.of(((CallOutcome.Failed) outcome).failure()));
  }

  /**
   * Returns the outcome that the message is for.
   *
   * @return the outcome
   */
  public CallOutcome outcome() {
    return answered.isEmpty()
        ? new CallOutcome.Failed(failed.get(0))
        : new CallOutcome.Answered(answered.get(0));
  }
}
