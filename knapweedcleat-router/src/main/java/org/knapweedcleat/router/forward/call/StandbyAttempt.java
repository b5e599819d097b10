package org.knapweedcleat.router.forward.call;

import org.knapweedcleat.core.directory.EndpointEntry;

/** An attempt at a silent endpoint, which is kept open until another endpoint takes the call. */
interface StandbyAttempt {

  /** Returns the silent endpoint. */
  EndpointEntry endpoint();

  /** Returns how long the endpoint has made no progress. */
  long silentMillis();

  /** Waits for the endpoint again, after no other endpoint took the call. */
  void awaitProgress();

  /** Called when another endpoint has taken the call over, or this attempt has failed. */
  default void onLeft() {}
}
