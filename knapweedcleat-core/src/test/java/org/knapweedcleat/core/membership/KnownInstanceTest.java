package org.knapweedcleat.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;

class KnownInstanceTest {

  private static final InstanceId ID = InstanceId.of("a1");
  private static final FailureDomainId DOMAIN = FailureDomainId.of("a");

  @Test
  void heartbeatsAndQuestionsGoToTheSameAddress() {
    Member sender = new Member(IncarnationId.of(ID, 1), DOMAIN, "127.0.0.1", 9001, false);
    Heartbeat heartbeat = new Heartbeat(sender, Revision.NONE, "", 0, Revision.NONE, 1, false);
    KnownInstance instance = KnownInstance.of(ID);
    instance.listed(0, new ListedInstance(ID, DOMAIN, "127.0.0.2", 9002, false));
    instance.heard(0, heartbeat);

    MembershipAction.Send listed = instance.send(heartbeat);
    Member listedMember = instance.member();
    instance.unlisted();

    assertThat(listedMember.host(), is(listed.host()));
    assertThat(listedMember.peerPort(), is(listed.peerPort()));
    assertThat(instance.member().peerPort(), is(instance.send(heartbeat).peerPort()));
  }
}
