package org.knapweedcleat.router.caller;

import java.util.List;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;

/** Aborts the requests whose keys a new document no longer declares. */
final class KeyWithdrawalHandler {

  private final RequestRuntime runtime;
  private KeyRegistry keys = KeyRegistry.empty();
  private Revision revision = Revision.NONE;

  private KeyWithdrawalHandler(RequestRuntime runtime) {
    this.runtime = runtime;
  }

  static KeyWithdrawalHandler of(RequestRuntime runtime) {
    return new KeyWithdrawalHandler(runtime);
  }

  void apply(FleetSnapshot snapshot) {
    if (!snapshot.revision().isAfter(revision)) {
      return;
    }
    KeyRegistry previousKeys = keys;
    revision = snapshot.revision();
    keys = KeyRegistry.of(snapshot.document());
    keys.withdrawnSince(previousKeys).forEach(this::abortRequests);
  }

  /** Records the withdrawal before aborting, so that an aborted caller finds its audit entry. */
  private void abortRequests(KeyIdentity withdrawn) {
    List<ActiveRequest> affected =
        runtime.activeRequests().all().stream()
            .filter(request -> request.key().filter(key -> isSameKey(key, withdrawn)).isPresent())
            .toList();
    runtime
        .context()
        .audit()
        .record(
            new AuditEvent.KeyWithdrawn(withdrawn.keyName(), withdrawn.account(), affected.size()));
    affected.forEach(request -> request.abort(AbortCause.KEY_WITHDRAWN));
  }

  /** Ignores the key name, which calls forwarded by another instance lack. */
  private static boolean isSameKey(KeyIdentity first, KeyIdentity second) {
    return first.digest().equals(second.digest()) && first.account().equals(second.account());
  }
}
