package org.knapweedcleat.router.caller;

import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.router.gate.CheckedKey;

/** A request that may go on: its route, its service and the key that came with it. */
record Admitted(RouteSpec route, ServiceSpec service, PoolSpec pool, Optional<CheckedKey> key) {

  /** The account that calls on open routes are scheduled under; it has no rate. */
  static final AccountId OPEN_ACCOUNT = AccountId.of("-open-");

  private static final KeyDigest OPEN_DIGEST = KeyDigest.ofKey("");

  AccountId account() {
    return key.map(CheckedKey::account).orElse(OPEN_ACCOUNT);
  }

  KeyDigest digest() {
    return key.map(CheckedKey::digest).orElse(OPEN_DIGEST);
  }
}
