package org.knapweedcleat.router.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.audit.AuditTrail;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;
import org.knapweedcleat.router.gate.InstanceClient;
import org.knapweedcleat.router.gate.KeyAuthenticator;
import org.knapweedcleat.router.gate.PlacementClient;

/**
 * Dependencies of the caller server.
 *
 * @param incarnation the local incarnation
 * @param domain the local failure domain
 * @param fleet provides the active fleet document
 * @param keyAuthenticator finds the client account of a key
 * @param rateLimiter limits the token rate of client accounts
 * @param placementClient sends placement requests to schedulers
 * @param instanceClient sends requests to other instances
 * @param nowMillis a monotonic clock that also advances while the process is suspended
 * @param random a random number generator that callers cannot predict
 * @param metrics the registry for counters
 * @param monitor checks invariants
 * @param audit records audit events
 * @param limits limits on requests, and the drain time-out
 */
public record CallerContext(
    IncarnationId incarnation,
    FailureDomainId domain,
    FleetSnapshotProvider fleet,
    KeyAuthenticator keyAuthenticator,
    AccountRateLimiter rateLimiter,
    PlacementClient placementClient,
    InstanceClient instanceClient,
    LongSupplier nowMillis,
    LongSupplier random,
    MetricRegistry metrics,
    InvariantMonitor monitor,
    AuditTrail audit,
    CallerLimits limits) {}
