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
 * Shared context of the components of one incarnation of an instance.
 *
 * @param settings the instance's settings
 * @param incarnation the incarnation
 * @param metrics the metric registry
 * @param monitor counts invariant violations
 * @param audit the audit trail
 * @param random the secure random number generator
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
   * Returns the context of a new incarnation.
   *
   * @param settings the instance's settings
   * @param metrics the metric registry
   * @param audit the audit trail
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
   * Returns the time of the monotonic clock, which also advances while the process is paused.
   *
   * @return milliseconds since an arbitrary origin
   */
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Returns the member entry of this instance.
   *
   * @return the member, with the address that the platform lists
   */
  Member selfMember() {
    int port = settings.listedPeerPort();
    return new Member(incarnation, settings.domain(), settings.host(), port, false);
  }
}
