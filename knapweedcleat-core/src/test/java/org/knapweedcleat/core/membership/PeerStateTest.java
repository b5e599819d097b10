package org.knapweedcleat.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

class PeerStateTest {

  private static final InstanceId ID = InstanceId.of("a1");
  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");

  @Test
  void memberAddressMatchesHeartbeatAddress() {
    Member sender = new Member(IncarnationId.of(ID, 1), DOMAIN, "127.0.0.1", 9001, false);
    Heartbeat heartbeat = new Heartbeat(sender, Revision.NONE, "", 0, Revision.NONE, 1, false);
    PeerState peer = PeerState.of(ID);
    peer.markListed(0, new ListedInstance(ID, DOMAIN, "127.0.0.2", 9002, false));
    peer.acceptHeartbeat(0, heartbeat);

    MembershipAction.Send heartbeatAction = peer.sendAction(heartbeat);
    Member listedMember = peer.toMember();
    peer.markUnlisted();

    assertThat(listedMember.host(), is(heartbeatAction.host()));
    assertThat(listedMember.peerPort(), is(heartbeatAction.peerPort()));
    assertThat(peer.toMember().peerPort(), is(peer.sendAction(heartbeat).peerPort()));
  }
}
