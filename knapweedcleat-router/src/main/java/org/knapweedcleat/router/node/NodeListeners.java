package org.knapweedcleat.router.node;

import java.util.Map;
import org.knapweedcleat.core.config.InstanceSettings;
import org.knapweedcleat.core.listener.CloseReason;
import org.knapweedcleat.router.listener.ListenerGuard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the guards of a node's listeners. */
final class NodeListeners {

  private static final Logger LOG = LoggerFactory.getLogger(NodeListeners.class);

  private final NodeContext context;

  private NodeListeners(NodeContext context) {
    this.context = context;
  }

  static NodeListeners of(NodeContext context) {
    return new NodeListeners(context);
  }

  ListenerGuard callers() {
    return guard("callers", context.settings().callerConnections());
  }

  ListenerGuard operators() {
    return guard("operators", context.settings().listeners().checkConnections());
  }

  ListenerGuard peers() {
    return guard("peers", context.settings().listeners().peerConnections());
  }

  private ListenerGuard guard(String name, int maxConnections) {
    InstanceSettings settings = context.settings();
    return ListenerGuard.of(
        name,
        settings.listeners().limits(maxConnections, Runtime.getRuntime().maxMemory()),
        context::nowMillis,
        context.metrics(),
        NodeListeners::log);
  }

  private static void log(
      String listener, Map<CloseReason, Long> counts, long releasedBytes, int open) {
    LOG.warn(
        "listener for {} closed connections: {}; released {} bytes, {} connections open",
        listener,
        counts,
        releasedBytes,
        open);
  }
}
