package org.knapweedcleat.router.caller;

import java.util.List;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;

/** Ends the requests whose keys a new document no longer declares. */
final class KeyWithdrawalHandler {

  private final RequestRuntime serving;
  private KeyRegistry keys = KeyRegistry.empty();
  private Revision revision = Revision.NONE;

  private KeyWithdrawalHandler(RequestRuntime serving) {
    this.serving = serving;
  }

  static KeyWithdrawalHandler of(RequestRuntime serving) {
    return new KeyWithdrawalHandler(serving);
  }

  void apply(FleetSnapshot snapshot) {
    if (!snapshot.revision().isAfter(revision)) {
      return;
    }
    KeyRegistry before = keys;
    revision = snapshot.revision();
    keys = KeyRegistry.of(snapshot.document());
    keys.withdrawnSince(before).forEach(this::abortRequests);
  }

  /** Records the withdrawal before the answers end, so that whoever sees an end finds its cause. */
  private void abortRequests(KeyIdentity withdrawn) {
    List<ActiveRequest> ending =
        serving.activeRequests().all().stream()
            .filter(call -> call.key().filter(key -> isSameKey(key, withdrawn)).isPresent())
            .toList();
    serving
        .context()
        .audit()
        .record(
            new AuditEvent.KeyWithdrawn(withdrawn.keyName(), withdrawn.account(), ending.size()));
    ending.forEach(call -> call.abort(AbortCause.KEY_WITHDRAWN));
  }

  /** Compares without the name, which calls passed on by another instance do not have. */
  private static boolean isSameKey(KeyIdentity one, KeyIdentity other) {
    return one.digest().equals(other.digest()) && one.account().equals(other.account());
  }
}
