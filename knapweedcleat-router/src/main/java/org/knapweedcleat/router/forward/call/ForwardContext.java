package org.knapweedcleat.router.forward.call;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.balance.EndpointChooser;
import org.knapweedcleat.core.balance.EndpointNotices;
import org.knapweedcleat.core.balance.HealthBook;
import org.knapweedcleat.core.balance.WorkBook;
import org.knapweedcleat.core.quota.FleetQuota;
import org.knapweedcleat.core.room.Punctuality;
import org.knapweedcleat.router.forward.codec.CallCodec;
import org.knapweedcleat.router.forward.http.EndpointConnectionPool;
import org.knapweedcleat.router.forward.log.DecisionLog;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.store.PublishedDirectory;

/**
 * What all calls of an instance share.
 *
 * @param vertx runs them
 * @param clock gives the monotonic time in milliseconds
 * @param random gives numbers from 0 up to but not including 1
 * @param codec translates calls
 * @param directory what is published
 * @param chooser chooses endpoints
 * @param work the work at each endpoint
 * @param health the health of each endpoint
 * @param notices what endpoints say of further calls
 * @param placements asks the keepers of engines' room
 * @param quota the client accounts' quotas
 * @param retryBudgets the repeats that each service may get
 * @param latenessDetector tells calls that are late in any case
 * @param pool sends requests to endpoints
 * @param log takes decisions
 * @param metrics counts them
 */
public record ForwardContext(
    Vertx vertx,
    LongSupplier clock,
    DoubleSupplier random,
    CallCodec codec,
    PublishedDirectory directory,
    EndpointChooser chooser,
    WorkBook work,
    HealthBook health,
    EndpointNotices notices,
    PlacementExchange placements,
    FleetQuota quota,
    ServiceRetryBudgets retryBudgets,
    Punctuality latenessDetector,
    EndpointConnectionPool pool,
    DecisionLog log,
    MetricRegistry metrics) {

  long nowMillis() {
    return clock.getAsLong();
  }
}
