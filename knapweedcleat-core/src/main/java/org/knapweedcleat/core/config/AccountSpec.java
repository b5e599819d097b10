package org.knapweedcleat.core.config;

import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a client account. Its rate and burst limits apply to the whole fleet.
 *
 * @param id the client account id
 * @param rateTokensPerSecond the refill rate of its token bucket
 * @param burstTokens the capacity of its token bucket
 * @param weight its relative share when accounts compete for capacity, at least 1
 * @param domainWeights the weights by which its rate and burst are divided among failure domains;
 *     an absent failure domain has weight 0, and an empty map weights all of them equally
 * @param team the team that owns the section
 */
public record AccountSpec(
    AccountId id,
    long rateTokensPerSecond,
    long burstTokens,
    int weight,
    Map<FailureDomainId, Integer> domainWeights,
    TeamId team) {

  /** Makes the weights immutable. */
  public AccountSpec {
    domainWeights = Map.copyOf(domainWeights);
  }
}
