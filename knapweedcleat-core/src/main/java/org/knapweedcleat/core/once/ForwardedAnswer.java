package org.knapweedcleat.core.once;

import java.util.List;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * The outcome of a {@link ForwardedCall}; one of the lists has one element, the other none.
 *
 * @param answers the endpoint's answer
 * @param errors what the caller is told instead
 */
public record ForwardedAnswer(List<PlainAnswer> answers, List<ErrorResponse> errors)
    implements PeerMessage {

  /** Checks that there is one outcome. */
  public ForwardedAnswer {
    answers = List.copyOf(answers);
    errors = List.copyOf(errors);
    if (answers.size() + errors.size() != 1) {
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
    return new ForwardedAnswer(List.of(), List.of(((CallOutcome.Failed) outcome).error()));
  }

  /**
   * Returns the outcome that the message is for.
   *
   * @return the outcome
   */
  public CallOutcome outcome() {
    return answers.isEmpty()
        ? new CallOutcome.Failed(errors.get(0))
        : new CallOutcome.Answered(answers.get(0));
  }
}
