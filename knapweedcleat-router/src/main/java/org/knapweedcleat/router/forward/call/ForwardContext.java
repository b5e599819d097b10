package org.knapweedcleat.router.forward.call;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EndpointAvailability;
import org.knapweedcleat.core.balance.EndpointEligibility;
import org.knapweedcleat.core.balance.EndpointHealthRegistry;
import org.knapweedcleat.core.balance.EndpointSelector;
import org.knapweedcleat.core.balance.WorkloadTracker;
import org.knapweedcleat.core.quota.FleetQuotaLimiter;
import org.knapweedcleat.core.room.LateCallDetector;
import org.knapweedcleat.core.throttle.EndpointRateLimits;
import org.knapweedcleat.router.forward.codec.CallCodec;
import org.knapweedcleat.router.forward.http.EndpointConnectionPool;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.quarantine.QuarantineExchange;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.speed.EngineSpeedExchange;
import org.knapweedcleat.router.forward.store.DirectoryCache;
import org.knapweedcleat.router.forward.throttle.PermitExchange;

/**
 * The services and state that all forwarded calls of an instance share.
 *
 * @param vertx runs the calls and their timers
 * @param clock supplies the monotonic time in milliseconds
 * @param random supplies numbers from 0 (inclusive) to 1 (exclusive)
 * @param codec translates between the router and the platform's HTTP headers and bodies
 * @param directory the published configuration and endpoints
 * @param domains the regions and distances of failure domains
 * @param chooser selects endpoints
 * @param work the known load of each endpoint
 * @param health the health of each endpoint
 * @param notices which endpoints have announced that they are leaving or want a pause
 * @param rateLimits the request rates that endpoints announced as their limit
 * @param permits asks whether a request may be sent to an endpoint with a rate limit
 * @param quarantine under which parts of prompts engines crash
 * @param placements asks the regions' coordinators to place streams
 * @param speeds how fast engines are
 * @param quota the client accounts' quotas
 * @param retryBudgets the retry budget of each service
 * @param latenessDetector recognizes calls that can no longer meet their latency target
 * @param pool sends requests to endpoints
 * @param log records decisions
 * @param metrics counts calls and their outcomes
 */
public record ForwardContext(
    Vertx vertx,
    LongSupplier clock,
    DoubleSupplier random,
    CallCodec codec,
    DirectoryCache directory,
    DomainTopology domains,
    EndpointSelector chooser,
    WorkloadTracker work,
    EndpointHealthRegistry health,
    EndpointAvailability notices,
    EndpointRateLimits rateLimits,
    PermitExchange permits,
    QuarantineExchange quarantine,
    PlacementExchange placements,
    EngineSpeedExchange speeds,
    FleetQuotaLimiter quota,
    ServiceRetryBudgets retryBudgets,
    LateCallDetector latenessDetector,
    EndpointConnectionPool pool,
    DecisionLog log,
    MetricRegistry metrics) {

  long nowMillis() {
    return clock.getAsLong();
  }

  EndpointEligibility eligibility() {
    return EndpointEligibility.of(domains, directory.eligibility().evacuations(), notices);
  }
}
