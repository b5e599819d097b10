package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.InstanceId;

/** What {@link MembershipTracker} wants done. */
public sealed interface MembershipAction {

  /**
   * Sends a heartbeat; whichever incarnation of the instance is running may receive it.
   *
   * @param to the instance
   * @param host its IP number
   * @param peerPort its TCP port
   * @param heartbeat the message
   */
  record Send(InstanceId to, String host, int peerPort, Heartbeat heartbeat)
      implements MembershipAction {}

  /**
   * Tells that the view has changed.
   *
   * @param view the new view
   */
  record ViewChanged(MembershipView view) implements MembershipAction {}
}
