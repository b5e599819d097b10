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
 * Where a request would go.
 *
 * @param query the request
 * @param refusal why it would be refused at once, if it would
 * @param target where its route leads, if there is a route
 * @param account the client account that it counts for, if one is known
 * @param domains what it finds in each failure domain asked about
 */
record Explanation(
    ExplainQuery query,
    Option<Refusal> refusal,
    Option<Target> target,
    Option<AccountSpec> account,
    List<DomainOutlook> domains) {

  /**
   * Where a route leads.
   *
   * @param route the route
   * @param service its service
   * @param pool the service's pool
   */
  record Target(RouteSpec route, ServiceSpec service, PoolSpec pool) {}

  /**
   * Why a request is refused.
   *
   * @param status the HTTP status
   * @param error the error that the caller gets
   * @param reason the reason, for operators
   */
  record Refusal(int status, String error, String reason) {}

  /**
   * What a request finds in one failure domain.
   *
   * @param domain the failure domain
   * @param rateTokensPerSecond the client account's rate there, 0 for none
   * @param burstTokens the client account's burst there, 0 for none
   * @param candidates the endpoints that may serve it
   * @param leaving the endpoints that get no new work
   */
  record DomainOutlook(
      FailureDomainSpec domain,
      long rateTokensPerSecond,
      long burstTokens,
      List<EndpointSpec> candidates,
      List<EndpointSpec> leaving) {

    /** Tells whether the endpoints there can do the whole work. */
    boolean canServe() {
      boolean plain = candidates.exists(endpoint -> !endpoint.role().isEngine());
      return plain || candidates.map(EndpointSpec::role).distinct().size() == 2;
    }
  }
}
