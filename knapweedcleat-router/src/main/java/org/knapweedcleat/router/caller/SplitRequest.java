package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.attempt.SplitRequestSpec;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.transfer.PrefixHashes;
import org.knapweedcleat.core.transfer.PromptTokenEstimator;

/** A checked split request. */
record SplitRequest(AuthorizedRequest authorized, SplitRequestSpec spec, String prompt, boolean stream) {

  static SplitRequest of(
      AuthorizedRequest admitted,
      SplitRequestBody body,
      RequestId request,
      IncarnationId owner,
      int firstPosition,
      long deadlineMillis) {
    SplitRequestSpec plan =
        new SplitRequestSpec(
            request,
            owner,
            admitted.service().id(),
            admitted.account(),
            PromptTokenEstimator.estimate(body.prompt()),
            body.maxTokens(),
            firstPosition,
            PrefixHashes.of(PrefixHashes.words(body.prompt())),
            deadlineMillis);
    return new SplitRequest(admitted, plan, body.prompt(), body.stream());
  }

  /** The prompt and the part of the answer that the caller has not received. */
  long costTokens() {
    return (long) spec.promptTokens() + spec.maxTokens() - spec.firstPosition();
  }

  String promptDigest() {
    return Sha256.hexOf(prompt);
  }
}
