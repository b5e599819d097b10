package org.knapweedcleat.router.caller;

import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.id.RequestId;

/** A request that this incarnation owns. */
interface ActiveRequest {

  /** Returns its id. */
  RequestId id();

  /** Returns the key that came with it, none on open routes. */
  Optional<KeyIdentity> key();

  /** Ends it early; its caller gets the final answer at once. */
  void abort(AbortCause cause);
}
