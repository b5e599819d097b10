package org.knapweedcleat.router.endpoint;

import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.CallFailure;

/**
 * Receives the events of a decode stream, ending with either {@code onEnd} or {@code onFailure}.
 */
public interface DecodeListener {

  /**
   * Called for each token.
   *
   * @param token the token
   */
  void onToken(AnswerToken token);

  /**
   * Called when the endpoint has completed the stream.
   *
   * @param tokens the total number of output tokens
   */
  void onEnd(int tokens);

  /**
   * Called when the stream was interrupted or could not be opened.
   *
   * @param failure how the call failed
   */
  void onFailure(CallFailure failure);
}
