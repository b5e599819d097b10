package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.ErrorResponse;

/** Writes the response to a split request. */
interface SplitResponseWriter {

  /** Starts the response. */
  void writeMetadata(ResponseMetadata metadata);

  /** Writes the next token. */
  void writeToken(AnswerToken token);

  /** Completes the response. */
  void writeEnd(int tokens);

  /** Ends the response with an error. */
  void writeError(ErrorResponse failure);
}
