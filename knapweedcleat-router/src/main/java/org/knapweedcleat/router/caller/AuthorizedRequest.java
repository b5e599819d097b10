package org.knapweedcleat.router.caller;

import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/** A request that may go on: its route, its service and the key that came with it. */
record AuthorizedRequest(RouteSpec route, ServiceSpec service, PoolSpec pool, Optional<KeyIdentity> key) {

  /** The account that calls on open routes are scheduled under; it has no rate. */
  static final AccountId OPEN_ACCOUNT = AccountId.of("-open-");

  private static final KeyDigest OPEN_KEY_DIGEST = KeyDigest.ofKey("");

  /** Returns the same with the key that came with the request. */
  AuthorizedRequest withKey(KeyIdentity checked) {
    return new AuthorizedRequest(route, service, pool, Optional.of(checked));
  }

  AccountId account() {
    return key.map(KeyIdentity::account).orElse(OPEN_ACCOUNT);
  }

  KeyDigest keyDigest() {
    return key.map(KeyIdentity::digest).orElse(OPEN_KEY_DIGEST);
  }
}
