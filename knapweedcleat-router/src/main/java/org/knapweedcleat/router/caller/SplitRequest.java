package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.attempt.SplitRequestSpec;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.transfer.PrefixHashes;
import org.knapweedcleat.core.transfer.PromptTokenEstimator;

/** An authorized and validated split request. */
record SplitRequest(
    AuthorizedRequest authorized, SplitRequestSpec spec, String prompt, boolean stream) {

  static SplitRequest of(
      AuthorizedRequest authorized,
      SplitRequestBody body,
      RequestId request,
      IncarnationId owner,
      int firstPosition,
      long deadlineMillis) {
    SplitRequestSpec spec =
        new SplitRequestSpec(
            request,
            owner,
            authorized.service().id(),
            authorized.account(),
            PromptTokenEstimator.estimate(body.prompt()),
            body.maxTokens(),
            firstPosition,
            PrefixHashes.of(PrefixHashes.words(body.prompt())),
            deadlineMillis);
    return new SplitRequest(authorized, spec, body.prompt(), body.stream());
  }

  /** Returns the tokens of the prompt and of the output that the caller has not received yet. */
  long costTokens() {
    return (long) spec.promptTokens() + spec.maxTokens() - spec.firstPosition();
  }

  String promptDigest() {
    return Sha256.hexOf(prompt);
  }
}
