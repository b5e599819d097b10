package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Writes the answer to a split request. */
interface SplitResponseWriter {

  /** Begins the answer. */
  void writeMetadata(ResponseMetadata head);

  /** Adds the next token. */
  void writeToken(AnswerToken token);

  /** Ends the answer. */
  void writeEnd(int tokens);

  /** Ends the answer with an error. */
  void writeError(ErrorResponse failure);
}
