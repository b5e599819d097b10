package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;

/** Tries to connect to endpoints that could not be reached, so that no call has to find out. */
public final class ReconnectProbe {

  /** The pause between tries; callers hardly notice an engine that returns so late. */
  private static final long PROBE_INTERVAL_MILLIS = 300;

  private final ForwardContext context;
  private final Set<EndpointId> connecting = new HashSet<>();
  private final Map<EndpointId, Long> lastProbeMillis = new HashMap<>();

  private ReconnectProbe(ForwardContext context) {
    this.context = context;
  }

  /**
   * Returns a check.
   *
   * @param context gives endpoints and connections
   * @return the check
   */
  public static ReconnectProbe of(ForwardContext context) {
    return new ReconnectProbe(context);
  }

  /** Tries the endpoints whose turn it is; to be called often. */
  public void probeDue() {
    long nowMillis = context.nowMillis();
    Set<EndpointId> unreachable = context.health().unreachable();
    lastProbeMillis.keySet().retainAll(unreachable);
    for (EndpointId id : unreachable) {
      Long before = lastProbeMillis.get(id);
      if (before != null && nowMillis - before < PROBE_INTERVAL_MILLIS) {
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
        .onComplete(tried -> connecting.remove(endpoint.id()))
        .onFailure(failure -> context.health().of(endpoint.id()).unreachable())
        .onSuccess(
            connected -> {
              context.health().of(endpoint.id()).reached(context.nowMillis());
              context.log().stateChange("endpoint.reached", "endpoint", endpoint.id());
            });
  }
}
