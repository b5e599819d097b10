package org.knapweedcleat.router.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.attempt.GiveUpCause;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.KeySpec;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.router.gate.CheckedKey;

/** Ends the requests whose keys a new document no longer declares. */
final class Withdrawals {

  private final Serving serving;
  private Map<KeyDigest, KeySpec> keys = new HashMap<>();
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
    revision = snapshot.revision();
    Map<KeyDigest, KeySpec> before = keys;
    keys = byDigest(snapshot);
    List<RunningCall> ending = withdrawnCalls();
    before.values().stream()
        .filter(key -> !stands(key))
        .forEach(key -> record(key, count(ending, key)));
    ending.forEach(call -> call.giveUp(GiveUpCause.KEY_WITHDRAWN));
  }

  private List<RunningCall> withdrawnCalls() {
    return serving.running().all().stream()
        .filter(call -> call.key().filter(key -> !stands(key)).isPresent())
        .toList();
  }

  private static int count(List<RunningCall> calls, KeySpec key) {
    return (int)
        calls.stream()
            .filter(call -> call.key().filter(own -> own.digest().equals(key.digest())).isPresent())
            .count();
  }

  private boolean stands(CheckedKey key) {
    KeySpec now = keys.get(key.digest());
    return now != null && now.account().equals(key.account());
  }

  private boolean stands(KeySpec key) {
    KeySpec now = keys.get(key.digest());
    return now != null && now.account().equals(key.account());
  }

  private void record(KeySpec key, int streamsEnded) {
    serving
        .context()
        .audit()
        .record(new AuditEvent.KeyWithdrawn(key.name(), key.account(), streamsEnded));
  }

  private static Map<KeyDigest, KeySpec> byDigest(FleetSnapshot snapshot) {
    Map<KeyDigest, KeySpec> keys = new HashMap<>();
    snapshot.document().keys().forEach(key -> keys.put(key.digest(), key));
    return keys;
  }
}
