package org.knapweedcleat.router.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.audit.AuditTrail;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.router.gate.FleetView;
import org.knapweedcleat.router.gate.InstanceCalls;
import org.knapweedcleat.router.gate.KeyCheck;
import org.knapweedcleat.router.gate.LimitGate;
import org.knapweedcleat.router.gate.PlacementGate;

/**
 * What serving callers needs of the rest of an instance.
 *
 * @param incarnation this run of the instance
 * @param domain its failure domain
 * @param fleet shows the document in force
 * @param keys tells which client account a key stands for
 * @param limitGate takes tokens
 * @param placements asks schedulers
 * @param instances asks other instances
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
    FleetView fleet,
    KeyCheck keys,
    LimitGate limitGate,
    PlacementGate placements,
    InstanceCalls instances,
    LongSupplier nowMillis,
    LongSupplier random,
    MetricRegistry metrics,
    InvariantMonitor monitor,
    AuditTrail audit,
    CallerLimits limits) {}
