package org.knapweedcleat.router.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.RequestId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.PlacementStage;
import org.knapweedcleat.core.schedule.RunningClaims;

/** Checks the message sizes on which the control traffic figures in docs/CAPACITY.md are based. */
class MessageSizeTest {

  private static final int MAX_HEARTBEAT_BYTES = 200;
  private static final int PACKET_OVERHEAD_BYTES = 40;
  private static final int DIGEST_DIGITS = 64;
  private static final int CONTROL_BUDGET_BYTES_PER_SECOND = 3_000;
  private static final int RUNNING_REQUESTS = 290;
  private static final int CLAIM_INTERVAL_SECONDS = 2;
  private static final IncarnationId OWNER =
      IncarnationId.of(InstanceId.of("kayseri-a-17"), 0x1a23f406fc77afbdL);
  private static final RequestId REQUEST = RequestId.of(OWNER, 1_000_000);

  private final PeerCodec codec = PeerCodec.create();

  @Test
  void heartbeatFitsMembershipBudget() {
    Member member = new Member(OWNER, FailureDomainId.of("kayseri-a"), "10.11.12.13", 8082, false);
    Revision revision = Revision.of(1_000_000);
    String digest = "0".repeat(DIGEST_DIGITS);
    Heartbeat heartbeat = new Heartbeat(member, revision, digest, 30_000, revision, 1_000, false);
    int bytes = size("heartbeat", heartbeat);
    assertThat(bytes + PACKET_OVERHEAD_BYTES, lessThanOrEqualTo(MAX_HEARTBEAT_BYTES));
  }

  @Test
  void runningClaimsTakeLessThanHalfOfControlBudget() {
    List<RequestId> running =
        LongStream.range(0, RUNNING_REQUESTS)
            .mapToObj(n -> RequestId.of(OWNER, 1_000_000 + n * 3))
            .toList();
    int bytes = size("claims of 290", RunningClaims.of(OWNER, PoolId.of("horn"), running));
    assertThat(
        bytes / CLAIM_INTERVAL_SECONDS, lessThanOrEqualTo(CONTROL_BUDGET_BYTES_PER_SECOND / 2));
  }

  @Test
  void messagesOfOnePlacementStayWithinLimit() {
    PlacementRequest request =
        new PlacementRequest(
            REQUEST,
            1,
            OWNER,
            ServiceId.of("notes"),
            AccountId.of("families"),
            true,
            1_200,
            64,
            List.of(1L << 60, 1L << 61),
            5_000);
    EndpointId engine = EndpointId.of("horn-tutor-12");
    int bytes =
        size("placement request", request)
            + size("decision", new PlacementDecision.Split(REQUEST, 1, engine, engine, 20))
            + 6 * size("progress", progress());
    System.out.println("one placement with six steps: " + bytes + " bytes");
    assertThat(bytes, lessThanOrEqualTo(1_000));
  }

  private static PlacementProgress progress() {
    return new PlacementProgress(REQUEST, 1, PlacementStage.PREFILLED, 1_200);
  }

  private int size(String name, PeerMessage message) {
    int bytes = codec.encodeFrame(message).length();
    System.out.println(name + ": " + bytes + " bytes");
    return bytes;
  }
}
