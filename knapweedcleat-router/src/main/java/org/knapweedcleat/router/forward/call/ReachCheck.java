package org.knapweedcleat.router.forward.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.id.EndpointId;

/** Tries to connect to endpoints that could not be reached, so that no call has to find out. */
public final class ReachCheck {

  /** The pause between tries; callers hardly notice an engine that returns so late. */
  private static final long TRY_MILLIS = 300;

  private final ForwardContext context;
  private final Set<EndpointId> trying = new HashSet<>();
  private final Map<EndpointId, Long> triedAtMillis = new HashMap<>();

  private ReachCheck(ForwardContext context) {
    this.context = context;
  }

  /**
   * Returns a check.
   *
   * @param context gives endpoints and connections
   * @return the check
   */
  public static ReachCheck of(ForwardContext context) {
    return new ReachCheck(context);
  }

  /** Tries the endpoints whose turn it is; to be called often. */
  public void tick() {
    long nowMillis = context.nowMillis();
    Set<EndpointId> unreachable = context.health().unreachable();
    triedAtMillis.keySet().retainAll(unreachable);
    for (EndpointId id : unreachable) {
      Long before = triedAtMillis.get(id);
      if (before != null && nowMillis - before < TRY_MILLIS) {
        continue;
      }
      triedAtMillis.put(id, nowMillis);
      context
          .directory()
          .endpoints()
          .find(id)
          .ifPresentOrElse(this::connect, () -> context.health().forget(id));
    }
  }

  private void connect(EndpointEntry endpoint) {
    if (!trying.add(endpoint.id())) {
      return;
    }
    context
        .pool()
        .reconnect(endpoint.host(), endpoint.port())
        .onComplete(tried -> trying.remove(endpoint.id()))
        .onFailure(failure -> context.health().of(endpoint.id()).unreachable())
        .onSuccess(
            connected -> {
              context.health().of(endpoint.id()).reached(context.nowMillis());
              context.log().belief("endpoint.reached", "endpoint", endpoint.id());
            });
  }
}
