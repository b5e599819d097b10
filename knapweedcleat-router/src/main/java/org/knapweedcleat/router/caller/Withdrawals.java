package org.knapweedcleat.router.caller;

import java.util.List;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;

/** Ends the requests whose keys a new document no longer declares. */
final class Withdrawals {

  private final Serving serving;
  private KeyRegistry keys = KeyRegistry.empty();
  private Revision revision = Revision.NONE;

  private Withdrawals(Serving serving) {
    this.serving = serving;
  }

  static Withdrawals of(Serving serving) {
    return new Withdrawals(serving);
  }

  void apply(FleetSnapshot snapshot) {
    if (!snapshot.revision().isAfter(revision)) {
      return;
    }
    KeyRegistry before = keys;
    revision = snapshot.revision();
    keys = KeyRegistry.of(snapshot.document());
    keys.withdrawnSince(before).forEach(this::withdraw);
  }

  /** Records the withdrawal before the answers end, so that whoever sees an end finds its cause. */
  private void withdraw(KeyIdentity withdrawn) {
    List<RunningCall> ending =
        serving.running().all().stream()
            .filter(call -> call.key().filter(key -> isSame(key, withdrawn)).isPresent())
            .toList();
    serving
        .context()
        .audit()
        .record(
            new AuditEvent.KeyWithdrawn(withdrawn.keyName(), withdrawn.account(), ending.size()));
    ending.forEach(call -> call.giveUp(AbortCause.KEY_WITHDRAWN));
  }

  /** Compares without the name, which calls passed on by another instance do not have. */
  private static boolean isSame(KeyIdentity one, KeyIdentity other) {
    return one.digest().equals(other.digest()) && one.account().equals(other.account());
  }
}
