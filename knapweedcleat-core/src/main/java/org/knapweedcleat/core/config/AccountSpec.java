package org.knapweedcleat.core.config;

import java.util.Map;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A client account as declared; its rate and burst hold over all instances together.
 *
 * @param id the client account
 * @param rateTokensPerSecond the tokens it earns a second
 * @param burstTokens the most tokens it can have saved
 * @param weight its share when accounts compete, at least 1
 * @param domainWeights how its rate and burst are divided over failure domains; a failure domain
 *     that is missing has weight 0, and an empty map gives every failure domain the same weight
 * @param team the team that owns the section
 */
public record AccountSpec(
    AccountId id,
    long rateTokensPerSecond,
    long burstTokens,
    int weight,
    Map<FailureDomainId, Integer> domainWeights,
    TeamId team) {

  /** Copies the weights. */
  public AccountSpec {
    domainWeights = Map.copyOf(domainWeights);
  }
}
