package org.knapweedcleat.router.caller;

import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/** The route, service, pool and authenticated key of a request that may be executed. */
record AuthorizedRequest(
    RouteSpec route, ServiceSpec service, PoolSpec pool, Optional<KeyIdentity> key) {

  /** The account for requests on open routes without a key; it has no rate limit. */
  static final AccountId OPEN_ACCOUNT = AccountId.of("-open-");

  private static final KeyDigest OPEN_KEY_DIGEST = KeyDigest.ofKey("");

  /** Returns a copy with the given key. */
  AuthorizedRequest withKey(KeyIdentity identity) {
    return new AuthorizedRequest(route, service, pool, Optional.of(identity));
  }

  AccountId account() {
    return key.map(KeyIdentity::account).orElse(OPEN_ACCOUNT);
  }

  KeyDigest keyDigest() {
    return key.map(KeyIdentity::digest).orElse(OPEN_KEY_DIGEST);
  }
}
