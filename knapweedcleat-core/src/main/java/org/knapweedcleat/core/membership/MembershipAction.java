package org.knapweedcleat.core.membership;

import org.knapweedcleat.core.id.InstanceId;

/** An action that {@link MembershipTracker} requests. */
public sealed interface MembershipAction {

  /**
   * Sends a heartbeat to an instance, whichever of its incarnations is running.
   *
   * @param to the instance
   * @param host its IP address
   * @param peerPort its TCP port
   * @param heartbeat the heartbeat
   */
  record Send(InstanceId to, String host, int peerPort, Heartbeat heartbeat)
      implements MembershipAction {}

  /**
   * Announces a changed view.
   *
   * @param view the new view
   */
  record ViewChanged(MembershipView view) implements MembershipAction {}
}
