package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;

/** Reconnects to unreachable endpoints, so that no call has to test whether they are back. */
public final class ReconnectProbe {

  /** Interval between attempts per endpoint, short enough that callers hardly notice the delay. */
  private static final long PROBE_INTERVAL_MILLIS = 300;

  private final ForwardContext context;
  private final Set<EndpointId> connecting = new HashSet<>();
  private final Map<EndpointId, Long> lastProbeMillis = new HashMap<>();

  private ReconnectProbe(ForwardContext context) {
    this.context = context;
  }

  /**
   * Returns a probe.
   *
   * @param context supplies endpoints and connections
   * @return the probe
   */
  public static ReconnectProbe of(ForwardContext context) {
    return new ReconnectProbe(context);
  }

  /**
   * Tries the unreachable endpoints that are due; to be called more often than the interval between
   * attempts.
   */
  public void probeDue() {
    long nowMillis = context.nowMillis();
    Set<EndpointId> unreachable = context.health().unreachable();
    lastProbeMillis.keySet().retainAll(unreachable);
    for (EndpointId id : unreachable) {
      Long previous = lastProbeMillis.get(id);
      if (previous != null && nowMillis - previous < PROBE_INTERVAL_MILLIS) {
        continue;
      }
      lastProbeMillis.put(id, nowMillis);
      context
          .directory()
          .endpoints()
          .find(id)
          .ifPresentOrElse(this::connect, () -> context.health().forget(id));
    }
  }

  private void connect(EndpointEntry endpoint) {
    if (!connecting.add(endpoint.id())) {
      return;
    }
    context
        .pool()
        .reconnect(endpoint.host(), endpoint.port())
        .onComplete(result -> connecting.remove(endpoint.id()))
        .onFailure(failure -> context.health().get(endpoint.id()).markUnreachable())
        .onSuccess(
            connected -> {
              context.health().get(endpoint.id()).markReachable(context.nowMillis());
              context.log().stateChange("endpoint.reached", "endpoint", endpoint.id());
            });
  }
}
