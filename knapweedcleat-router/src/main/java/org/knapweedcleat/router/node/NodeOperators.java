package org.knapweedcleat.router.node;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import org.knapweedcleat.router.operator.InstanceState;
import org.knapweedcleat.router.operator.InstanceStatus;
import org.knapweedcleat.router.operator.OperatorSources;
import org.knapweedcleat.router.operator.RingAuditTrail;

/** Shows one run of an instance to operators. */
final class NodeOperators implements OperatorSources {

  private final RouterNode node;
  private final NodeContext context;

  private NodeOperators(RouterNode node, NodeContext context) {
    this.node = node;
    this.context = context;
  }

  static NodeOperators of(RouterNode node, NodeContext context) {
    return new NodeOperators(node, context);
  }

  @Override
  public InstanceState state() {
    return node.state();
  }

  @Override
  public Uni<InstanceStatus> status() {
    return node.status();
  }

  @Override
  public RingAuditTrail audit() {
    return context.audit();
  }

  @Override
  public MetricRegistry metrics() {
    return context.metrics();
  }

  @Override
  public void drain() {
    node.drain();
  }
}
