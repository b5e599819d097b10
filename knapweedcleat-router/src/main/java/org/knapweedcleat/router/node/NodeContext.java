package org.knapweedcleat.router.node;

import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.router.operator.RingAuditTrail;

/**
 * What the parts of one run of an instance share.
 *
 * @param settings the instance's settings
 * @param incarnation this run
 * @param metrics where counters are registered
 * @param monitor where invariants are checked
 * @param audit takes changes
 * @param random unpredictable numbers
 */
public record NodeContext(
    InstanceSettings settings,
    IncarnationId incarnation,
    MetricRegistry metrics,
    InvariantMonitor monitor,
    RingAuditTrail audit,
    SecureRandom random) {

  private static final int RANDOM_BITS = 20;

  /**
   * Returns the context of a new run.
   *
   * @param settings the instance's settings
   * @param metrics where counters are registered
   * @param audit takes changes
   * @return the context
   */
  public static NodeContext of(
      InstanceSettings settings, MetricRegistry metrics, RingAuditTrail audit) {
    SecureRandom random = new SecureRandom();
    long startNumber = System.currentTimeMillis() << RANDOM_BITS;
    long number = startNumber | random.nextInt(1 << RANDOM_BITS);
    return new NodeContext(
        settings,
        IncarnationId.of(settings.id(), number),
        metrics,
        InvariantMonitor.of(metrics),
        audit,
        random);
  }

  /**
   * Returns the time of the monotonic clock, which goes on while the process is paused.
   *
   * @return milliseconds since some moment
   */
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Returns what the instance says of itself.
   *
   * @return the member, at the address that the platform lists
   */
  Member selfMember() {
    int port = settings.listedPeerPort();
    return new Member(incarnation, settings.domain(), settings.host(), port, false);
  }
}
