package org.knapweedcleat.router.caller;

import java.util.Optional;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.AbortCause;
import org.knapweedcleat.core.id.RequestId;

/** A request in progress that this incarnation owns. */
interface ActiveRequest {

  /** Returns the request id. */
  RequestId id();

  /** Returns the authenticated key, empty if an open route was called without a valid one. */
  Optional<KeyIdentity> key();

  /** Ends the request early; its caller gets the final response at once. */
  void abort(AbortCause cause);
}
