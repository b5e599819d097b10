package org.knapweedcleat.router.endpoint;

import org.knapweedcleat.core.attempt.AnswerToken;
import org.knapweedcleat.core.attempt.CallFailure;

/** Is told what a decode stream brings; the last call is either {@code ended} or {@code broken}. */
public interface DecodeListener {

  /**
   * A token arrived.
   *
   * @param token the token
   */
  void onToken(AnswerToken token);

  /**
   * The stream ended as the endpoint meant it to.
   *
   * @param tokens the length of the whole answer
   */
  void onEnd(int tokens);

  /**
   * The stream broke off or did not come about.
   *
   * @param failure how the call failed
   */
  void onFailure(CallFailure failure);
}
