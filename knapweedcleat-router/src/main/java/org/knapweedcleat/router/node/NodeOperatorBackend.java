package org.knapweedcleat.router.node;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import org.knapweedcleat.router.operator.InstanceState;
import org.knapweedcleat.router.operator.InstanceStatus;
import org.knapweedcleat.router.operator.OperatorBackend;
import org.knapweedcleat.router.operator.RingAuditTrail;

/** Gives the operator server access to a {@link RouterNode}. */
final class NodeOperatorBackend implements OperatorBackend {

  private final RouterNode node;
  private final NodeContext context;

  private NodeOperatorBackend(RouterNode node, NodeContext context) {
    this.node = node;
    this.context = context;
  }

  static NodeOperatorBackend of(RouterNode node, NodeContext context) {
    return new NodeOperatorBackend(node, context);
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
