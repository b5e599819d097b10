package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Writes the answer to a split request. */
interface SplitAnswer {

  /** Begins the answer. */
  void head(AnswerHead head);

  /** Adds the next token. */
  void token(AnswerToken token);

  /** Ends the answer. */
  void end(int tokens);

  /** Ends the answer with an error. */
  void failure(ErrorResponse failure);
}
