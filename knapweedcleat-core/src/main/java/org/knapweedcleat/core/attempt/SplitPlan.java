package org.knapweedcleat.core.attempt;

import java.util.List;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.ServiceId;

/**
 * What a split request asks for.
 *
 * @param request the request
 * @param owner the incarnation that serves the caller
 * @param service the service asked for
 * @param account the client account that pays
 * @param promptTokens the estimated length of the prompt
 * @param maxTokens the length limit of the whole answer, counted from position 0
 * @param firstPosition the first position that the caller still needs
 * @param prefixHashes chained hashes of the prompt's leading blocks
 * @param deadlineMillis how long the first token may take from the start
 */
public record SplitPlan(
    RequestId request,
    IncarnationId owner,
    ServiceId service,
    AccountId account,
    int promptTokens,
    int maxTokens,
    int firstPosition,
    List<Long> prefixHashes,
    long deadlineMillis) {

  /** Checks the ranges and copies the hashes. */
  public SplitPlan {
    prefixHashes = List.copyOf(prefixHashes);
    if (maxTokens < 1 || firstPosition < 0 || firstPosition >= maxTokens) {
      throw new IllegalArgumentException("position " + firstPosition + " of " + maxTokens);
    }
  }
}
