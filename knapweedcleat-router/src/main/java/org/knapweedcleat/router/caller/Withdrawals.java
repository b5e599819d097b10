package org.knapweedcleat.router.caller;

import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.account.KeyRing;
import org.knapweedcleat.core.attempt.GiveUpCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.Revision;

/** Ends the requests whose keys a new document no longer declares. */
final class Withdrawals {

  private final Serving serving;
  private KeyRing keys = KeyRing.empty();
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
    KeyRing before = keys;
    revision = snapshot.revision();
    keys = KeyRing.of(snapshot.document());
    keys.withdrawnSince(before).forEach(this::withdraw);
  }

  private void withdraw(KeyIdentity withdrawn) {
    int ended = 0;
    for (RunningCall call : serving.running().all()) {
      if (call.key().filter(key -> isSame(key, withdrawn)).isPresent()) {
        call.giveUp(GiveUpCause.KEY_WITHDRAWN);
        ended++;
      }
    }
    serving
        .context()
        .audit()
        .record(new AuditEvent.KeyWithdrawn(withdrawn.keyName(), withdrawn.account(), ended));
  }

  /** Compares without the name, which calls passed on by another instance do not have. */
  private static boolean isSame(KeyIdentity one, KeyIdentity other) {
    return one.digest().equals(other.digest()) && one.account().equals(other.account());
  }
}
