package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.FailureDomainSpec;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;

/**
 * The routing of a request according to a document.
 *
 * @param query the request
 * @param refusal why the request would be refused immediately, if it would
 * @param target the target of its route, if there is a route
 * @param account the client account that is charged, if known
 * @param domains the outlook in each of the queried failure domains
 */
record Explanation(
    ExplainQuery query,
    Option<Refusal> refusal,
    Option<Target> target,
    Option<AccountSpec> account,
    List<DomainOutlook> domains) {

  /**
   * The target of a route.
   *
   * @param route the route
   * @param service the service of the route
   * @param pool the pool of the service
   */
  record Target(RouteSpec route, ServiceSpec service, PoolSpec pool) {}

  /**
   * Why a request is refused.
   *
   * @param status the HTTP status
   * @param error the error code sent to the caller
   * @param reason the reason shown to operators
   */
  record Refusal(int status, String error, String reason) {}

  /**
   * The limits and endpoints for a request in one failure domain.
   *
   * @param domain the failure domain
   * @param rateTokensPerSecond the rate of the client account there, 0 if there is none
   * @param burstTokens the burst of the client account there, 0 if there is none
   * @param candidates the endpoints that may serve the request
   * @param leaving the endpoints that accept no new work
   */
  record DomainOutlook(
      FailureDomainSpec domain,
      long rateTokensPerSecond,
      long burstTokens,
      List<EndpointSpec> candidates,
      List<EndpointSpec> leaving) {

    /** Returns whether the candidates cover all roles that the request needs. */
    boolean canServe() {
      boolean hasPlainEndpoint = candidates.exists(endpoint -> !endpoint.role().isEngine());
      return hasPlainEndpoint || candidates.map(EndpointSpec::role).distinct().size() == 2;
    }
  }
}
