package org.knapweedcleat.core.once;

import java.util.List;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * The outcome of a {@link ForwardedCall}. Exactly one of the lists has one element; the other is
 * empty.
 *
 * @param answers the endpoint's answer, if any
 * @param errors the error response for the caller, if any
 */
public record ForwardedAnswer(List<PlainAnswer> answers, List<ErrorResponse> errors)
    implements PeerMessage {

  /** Checks that there is exactly one outcome. */
  public ForwardedAnswer {
    answers = List.copyOf(answers);
    errors = List.copyOf(errors);
    if (answers.size() + errors.size() != 1) {
      throw new IllegalArgumentException("a forwarded answer needs exactly one outcome");
    }
  }

  /**
   * Returns the message that carries an outcome.
   *
   * @param outcome the outcome
   * @return the message
   */
  public static ForwardedAnswer of(CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Answered answered) {
      return new ForwardedAnswer(List.of(answered.answer()), List.of());
    }
    return new ForwardedAnswer(List.of(), List.of(((CallOutcome.Failed) outcome).error()));
  }

  /**
   * Returns the outcome that the message carries.
   *
   * @return the outcome
   */
  public CallOutcome outcome() {
    return answers.isEmpty()
        ? new CallOutcome.Failed(errors.get(0))
        : new CallOutcome.Answered(answers.get(0));
  }
}
