package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.attempt.SplitRequestSpec;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.transfer.PrefixHashes;
import org.knapweedcleat.core.transfer.PromptTokenEstimator;

/** A checked split request. */
record SplitInput(Admitted admitted, SplitRequestSpec plan, String prompt, boolean stream) {

  static SplitInput of(
      Admitted admitted,
      SplitBody body,
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
    return new SplitInput(admitted, plan, body.prompt(), body.stream());
  }

  /** The prompt and the part of the answer that the caller has not received. */
  long costTokens() {
    return (long) plan.promptTokens() + plan.maxTokens() - plan.firstPosition();
  }

  String promptDigest() {
    return Sha256.hexOf(prompt);
  }
}
