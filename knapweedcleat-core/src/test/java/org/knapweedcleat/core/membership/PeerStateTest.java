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
  void heartbeatsAndQuestionsGoToTheSameAddress() {
    Member sender = new Member(IncarnationId.of(ID, 1), DOMAIN, "127.0.0.1", 9001, false);
    Heartbeat heartbeat = new Heartbeat(sender, Revision.NONE, "", 0, Revision.NONE, 1, false);
    PeerState instance = PeerState.of(ID);
    instance.markListed(0, new ListedInstance(ID, DOMAIN, "127.0.0.2", 9002, false));
    instance.acceptHeartbeat(0, heartbeat);

    MembershipAction.Send listed = instance.sendAction(heartbeat);
    Member listedMember = instance.toMember();
    instance.markUnlisted();

    assertThat(listedMember.host(), is(listed.host()));
    assertThat(listedMember.peerPort(), is(listed.peerPort()));
    assertThat(instance.toMember().peerPort(), is(instance.sendAction(heartbeat).peerPort()));
  }
}
