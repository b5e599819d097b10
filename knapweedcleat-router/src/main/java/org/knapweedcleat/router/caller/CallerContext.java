package org.knapweedcleat.router.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.audit.AuditTrail;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.router.gate.FleetSnapshotProvider;
import org.knapweedcleat.router.gate.InstanceClient;
import org.knapweedcleat.router.gate.KeyAuthenticator;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.PlacementClient;

/**
 * What serving callers needs of the rest of an instance.
 *
 * @param incarnation this run of the instance
 * @param domain its failure domain
 * @param fleet shows the document in force
 * @param keyAuthenticator tells which client account a key stands for
 * @param rateLimiter takes tokens
 * @param placementClient asks schedulers
 * @param instanceClient asks other instances
 * @param nowMillis the time, monotonic, going on while the process is paused
 * @param random any numbers, unpredictable for callers
 * @param metrics where counters are registered
 * @param monitor where invariants are checked
 * @param audit takes changes
 * @param limits bounds what callers can make the instance hold
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
